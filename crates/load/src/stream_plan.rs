use std::time::Duration;

use rand::{Rng, rngs::StdRng};

/// Rate between peaks, as a factor of the mean rate.
const OFF_PEAK_FACTOR: f64 = 0.05;

/// The load of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamPlan {
    /// Name of the team, for the report.
    pub team: String,
    /// API key of the team, sent with each request.
    pub key: String,
    /// Mean requests per second.
    pub rate: f64,
    /// Service time that each request asks the executor to take.
    pub service: Duration,
    /// Fraction of requests that are urgent.
    pub urgent: f64,
    /// Fraction of requests that are idempotent.
    pub idempotent: f64,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// Size of a response body, in bytes.
    pub answer_bytes: usize,
    /// Ratio of the peak rate to the mean rate; 1 for a steady rate.
    pub peak: f64,
    /// Time from one peak to the next.
    pub period: Duration,
    /// Weight of the team, for the report.
    pub share: f64,
}

/// A request to be sent at a planned time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Planned send time, from the start of the load.
    pub due: Duration,
    /// Index of the stream it belongs to.
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
    /// Generates requests over `length` by a Poisson process; `stream` is the index of this plan.
    pub fn requests(
        &self,
        stream: usize,
        length: Duration,
        random: &mut StdRng,
    ) -> Vec<PlannedRequest> {
        let mut requests = Vec::new();
        let peak_rate = self.rate * self.peak.max(1.0);
        let mut due = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            due -= uniform.ln() / peak_rate;
            if length.as_secs_f64() <= due {
                return requests;
            }
            // Thinning: arrivals are drawn at the peak rate and kept in proportion to the
            // current rate.
            if random.random::<f64>() < self.rate_at(due) / peak_rate {
                requests.push(PlannedRequest {
                    due: Duration::from_secs_f64(due),
                    stream,
                    urgent: random.random::<f64>() < self.urgent,
                    idempotent: random.random::<f64>() < self.idempotent,
                });
            }
        }
    }

    // The peak lasts for the fraction of the period that makes the mean equal to `rate`.
    fn rate_at(&self, time: f64) -> f64 {
        if self.peak <= 1.0 {
            return self.rate;
        }
        let peak_fraction = (1.0 - OFF_PEAK_FACTOR) / (self.peak - OFF_PEAK_FACTOR);
        let phase = (time / self.period.as_secs_f64()).fract();
        let factor = if phase < peak_fraction {
            self.peak
        } else {
            OFF_PEAK_FACTOR
        };
        self.rate * factor
    }
}
