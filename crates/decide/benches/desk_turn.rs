//! Cost of a task in the owner's scheduler from its submission to its end, by the number of
//! targets, waiting tasks and workspaces. `docs/CAPACITY.md` has the figures.

#[path = "../tests/harness/queue_load.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod queue_load;

use divan::{AllocProfiler, Bencher};
use queue_load::{QueueLoad, TurnSize};

#[global_allocator]
static ALLOCATIONS: AllocProfiler = AllocProfiler::system();

const TARGETS: [usize; 4] = [120, 400, 1100, 5000];
const WAITING: [usize; 4] = [10, 100, 1000, 10_000];
const WORKSPACES: [usize; 2] = [20, 120];

fn main() {
    divan::main();
}

fn sizes() -> Vec<TurnSize> {
    let mut sizes = Vec::new();
    for targets in TARGETS {
        for waiting in WAITING {
            for workspaces in WORKSPACES {
                sizes.push(TurnSize {
                    targets,
                    waiting,
                    workspaces,
                });
            }
        }
    }
    sizes
}

impl std::fmt::Display for TurnSize {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} targets, {} waiting, {} workspaces",
            self.targets, self.waiting, self.workspaces
        )
    }
}

#[divan::bench(args = sizes(), sample_count = 20, sample_size = 100)]
fn task(bencher: Bencher, size: &TurnSize) {
    let mut load = QueueLoad::new(*size);
    bencher.bench_local(|| load.end_next_task());
}
