use std::time::Duration;

use rand::{Rng, rngs::StdRng};

/// Factor of the mean rate outside a peak.
const TROUGH: f64 = 0.05;

/// The load of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPlan {
    /// The team, for the report.
    pub team: String,
    /// Its key, as sent with each request.
    pub key: String,
    /// Mean requests a second.
    pub rate: f64,
    /// Service time asked of the executor.
    pub service: Duration,
    /// Fraction of requests that are urgent.
    pub urgent: f64,
    /// Fraction of requests that are idempotent.
    pub idempotent: f64,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of an answer.
    pub answer_bytes: usize,
    /// Peak rate over mean; 1 for a steady rate.
    pub peak: f64,
    /// Time from one peak to the next.
    pub period: Duration,
    /// Weight of the team, for the report.
    pub share: f64,
}

/// One request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedRequest {
    /// When it is due, from the start of the load.
    pub due: Duration,
    /// Index of its stream.
    pub stream: usize,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Whether it is idempotent.
    pub idempotent: bool,
}

impl Default for StreamPlan {
    fn default() -> Self {
        Self {
            team: String::new(),
            key: String::new(),
            rate: 10.0,
            service: Duration::from_millis(5),
            urgent: 0.0,
            idempotent: 0.0,
            body_bytes: 100,
            answer_bytes: 100,
            peak: 1.0,
            period: Duration::from_secs(4),
            share: 1.0,
        }
    }
}

impl StreamPlan {
    /// Requests with exponential gaps over `length`; `stream` is the index of this plan.
    pub fn requests(
        &self,
        stream: usize,
        length: Duration,
        random: &mut StdRng,
    ) -> Vec<PlannedRequest> {
        let mut requests = Vec::new();
        let top_rate = self.rate * self.peak.max(1.0);
        let mut due = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            due -= uniform.ln() / top_rate;
            if length.as_secs_f64() <= due {
                return requests;
            }
            // Thinning: gaps of the top rate, of which the rate of the moment is kept.
            if random.random::<f64>() < self.rate_at(due) / top_rate {
                requests.push(PlannedRequest {
                    due: Duration::from_secs_f64(due),
                    stream,
                    urgent: random.random::<f64>() < self.urgent,
                    idempotent: random.random::<f64>() < self.idempotent,
                });
            }
        }
    }

    // A peak fills the part of the period that keeps the mean.
    fn rate_at(&self, time: f64) -> f64 {
        if self.peak <= 1.0 {
            return self.rate;
        }
        let peak_part = (1.0 - TROUGH) / (self.peak - TROUGH);
        let phase = (time / self.period.as_secs_f64()).fract();
        let factor = if phase < peak_part { self.peak } else { TROUGH };
        self.rate * factor
    }
}
