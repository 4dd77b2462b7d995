use std::{fmt, time::Duration};

use crate::{Manifest, PoolSpec};

/// Number of hosts that fail together with their rack.
const RACK_HOSTS: u32 = 4;
/// Estimated time to maintain one host: drain, reboot and health check.
const HOST_MAINTENANCE_TIME: Duration = Duration::from_secs(15 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// Warning about a valid part of a manifest that may be unintended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestAdvice {
    /// Section that the warning is about.
    pub section: String,
    /// The consequence of that part.
    pub text: String,
}

impl fmt::Display for ManifestAdvice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}", self.section, self.text)
    }
}

impl Manifest {
    /// Returns warnings about a valid manifest, assuming that each pool loses `shrink_percent`
    /// of its hosts.
    pub fn advice(&self, shrink_percent: u32) -> Vec<ManifestAdvice> {
        let mut advice = Vec::new();
        for (name, pool) in &self.pools {
            let lost = (pool.size * shrink_percent.min(100)).div_ceil(100);
            let size = pool.size - lost;
            let texts = [
                self.unused_pool_advice(name, pool),
                budget_advice(pool, size, lost),
                self.window_advice(pool, size),
                rack_advice(pool, size),
            ];
            advice.extend(texts.into_iter().flatten().map(|text| ManifestAdvice {
                section: format!("pool.{name}"),
                text,
            }));
        }
        advice
    }

    fn unused_pool_advice(&self, name: &str, pool: &PoolSpec) -> Option<String> {
        let is_used = self
            .services
            .values()
            .any(|service| service.pool == name || service.worker_pool == name);
        (!is_used && !pool.spare).then(|| "no service uses the pool".to_owned())
    }

    fn window_advice(&self, pool: &PoolSpec, size: u32) -> Option<String> {
        let Some(window) = self.windows.get(&pool.window) else {
            return Some("without a window its hosts are never maintained".to_owned());
        };
        let at_once = window.at_once.min(size.saturating_sub(pool.budget));
        if at_once == 0 {
            return Some(format!(
                "with {size} hosts none can be maintained within a budget of {}",
                pool.budget
            ));
        }
        let days = window.every.div_duration_f64(DAY).max(1.0);
        let per_day = f64::from(at_once)
            * window
                .length
                .div_duration_f64(HOST_MAINTENANCE_TIME)
                .floor();
        let reach = per_day * days;
        (reach < f64::from(size)).then(|| {
            format!(
                "[window.{}] has time for {reach:.0} hosts in its interval, at {} minutes each; \
                 the pool has {size}",
                pool.window,
                HOST_MAINTENANCE_TIME.as_secs() / 60
            )
        })
    }
}

fn budget_advice(pool: &PoolSpec, size: u32, lost: u32) -> Option<String> {
    (size < pool.budget).then(|| {
        format!(
            "without {lost} of its hosts the pool has {size}, fewer than its budget of {}",
            pool.budget
        )
    })
}

fn rack_advice(pool: &PoolSpec, size: u32) -> Option<String> {
    let left = size.saturating_sub(RACK_HOSTS);
    (left < pool.budget && size >= pool.budget).then(|| {
        format!(
            "losing a rack of {RACK_HOSTS} leaves {left} hosts, fewer than the budget of {}",
            pool.budget
        )
    })
}
