use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

/// How often a fault strikes: the next `times` occasions, and after them by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultRate {
    /// Occasions that are certainly struck.
    pub times: u32,
    /// Chance from 0 to 1 on the occasions after them.
    pub chance: f64,
}

impl FaultRate {
    /// Strikes the next `times` occasions.
    pub fn next(times: u32) -> Self {
        Self { times, chance: 0.0 }
    }

    /// Strikes with a chance from 0 to 1.
    pub fn by_chance(chance: f64) -> Self {
        Self { times: 0, chance }
    }

    /// Whether this occasion is struck.
    pub fn strikes(&mut self, dice: &mut FaultDice) -> bool {
        if self.times > 0 {
            self.times -= 1;
            return true;
        }
        self.chance > 0.0 && dice.rng.random_bool(self.chance.clamp(0.0, 1.0))
    }
}

/// Seeded randomness of faults and of service times.
#[derive(Clone, Debug)]
pub struct FaultDice {
    rng: StdRng,
}

impl FaultDice {
    /// Dice that fall the same way for the same seed.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A sample of an exponential distribution.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }
}
