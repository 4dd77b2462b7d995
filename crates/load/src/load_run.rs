use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use crossbeam_channel::{Receiver, bounded};
use fake::{WorkOrder, expected_answer};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::StdRng};
use serde::Deserialize;
use ureq::Agent;

use crate::{
    load_args::LoadArgs,
    stream_plan::{PlannedRequest, StreamPlan},
};

const STACK_BYTES: usize = 512 * 1024;
// Time beyond the deadline for a response that is already on its way.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// How one request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndKind {
    /// The expected response.
    Answered,
    /// A successful response with an unexpected body.
    Mismatched,
    /// An error response, with its problem kind and what it says about the execution.
    Refused {
        /// Problem kind, in kebab case, or `status-` and the HTTP status.
        problem: String,
        /// `not-run`, `may-have-run` or `ran`; empty if the response states none.
        fate: String,
    },
    /// No complete HTTP response.
    Lost,
}

/// The result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestOutcome {
    /// The request as planned.
    pub planned: PlannedRequest,
    /// When it ended, from the start of the load.
    pub ended: Duration,
    /// How it ended.
    pub end: EndKind,
}

#[derive(Deserialize)]
struct ProblemBody {
    problem: String,
    fate: String,
}

struct Sender {
    agent: Agent,
    urls: Vec<String>,
    path: String,
    streams: Vec<StreamPlan>,
    deadline_ms: u64,
    direct: bool,
    seed: u64,
}

/// Sends the load to `urls` and returns the results in order of completion.
///
/// # Errors
/// If `--threads` is 0 or a thread can't be started.
pub fn run(
    args: &LoadArgs,
    streams: &[StreamPlan],
    urls: &[String],
    direct: bool,
) -> Result<Vec<RequestOutcome>> {
    ensure!(0 < args.threads, "--threads must be above 0");
    let sender = Arc::new(Sender::new(args, streams, urls, direct));
    let plan = plan_requests(args, streams);
    let outcomes = Arc::new(Mutex::new(Vec::with_capacity(plan.len())));
    let start = Instant::now();
    let mut threads = Vec::new();
    let mut queues = Vec::new();
    // Each stream has its own threads, so that slow responses of one team don't delay another.
    for _ in streams {
        let (queue, work) = bounded(plan.len().max(1));
        queues.push(queue);
        for _ in 0..args.threads.min(plan.len()) {
            let sender = Arc::clone(&sender);
            let work = work.clone();
            let outcomes = Arc::clone(&outcomes);
            let send = move || send_all(&sender, &work, start, &outcomes);
            threads.push(thread::Builder::new().stack_size(STACK_BYTES).spawn(send)?);
        }
    }
    for (number, planned) in plan.into_iter().enumerate() {
        thread::sleep(planned.due.saturating_sub(start.elapsed()));
        if queues[planned.stream].send((number, planned)).is_err() {
            break;
        }
    }
    drop(queues);
    for thread in threads {
        let _ = thread.join();
    }
    Ok(std::mem::take(&mut *outcomes.lock()))
}

fn plan_requests(args: &LoadArgs, streams: &[StreamPlan]) -> Vec<PlannedRequest> {
    let mut random = StdRng::seed_from_u64(args.seed);
    let mut plan: Vec<PlannedRequest> = streams
        .iter()
        .enumerate()
        .flat_map(|(index, stream)| stream.requests(index, args.length(), &mut random))
        .collect();
    plan.sort_by_key(|planned| planned.due);
    plan
}

fn send_all(
    sender: &Sender,
    work: &Receiver<(usize, PlannedRequest)>,
    start: Instant,
    outcomes: &Mutex<Vec<RequestOutcome>>,
) {
    for (number, planned) in work {
        let end = sender.send(number, &planned);
        let ended = start.elapsed();
        outcomes.lock().push(RequestOutcome {
            planned,
            ended,
            end,
        });
    }
}

impl Sender {
    fn new(args: &LoadArgs, streams: &[StreamPlan], urls: &[String], direct: bool) -> Self {
        let timeout = Duration::from_millis(args.deadline_ms) + RESPONSE_GRACE;
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections(args.threads)
            .max_idle_connections_per_host(args.threads)
            .build();
        let path = if direct {
            "/v1/run".to_owned()
        } else {
            format!("/v1/services/{}/requests", args.service)
        };
        Self {
            agent: config.into(),
            urls: urls.to_vec(),
            path,
            streams: streams.to_vec(),
            deadline_ms: args.deadline_ms,
            direct,
            seed: args.seed,
        }
    }

    fn send(&self, number: usize, planned: &PlannedRequest) -> EndKind {
        let stream = &self.streams[planned.stream];
        let order = WorkOrder {
            service: Some(stream.service),
            answer: Some(stream.answer_bytes),
            nonce: format!("{}-{number}", self.seed),
        };
        let body = order.body(stream.body_bytes);
        let url = format!("{}{}", self.urls[number % self.urls.len()], self.path);
        let mut request = self
            .agent
            .post(&url)
            .header("Deadline-Ms", self.deadline_ms.to_string())
            .header("Idempotent", planned.idempotent.to_string())
            .header("Urgent", planned.urgent.to_string());
        if self.direct {
            request = request
                .header("Request-Id", format!("direct-{}-{number}", self.seed))
                .header("Team", &stream.team);
        } else {
            request = request.header("Authorization", format!("Bearer {}", stream.key));
        }
        let Ok(mut response) = request.send(&body[..]) else {
            return EndKind::Lost;
        };
        let status = response.status().as_u16();
        let reader = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
        let Ok(answer) = reader.read_to_vec() else {
            return EndKind::Lost;
        };
        classify_response(status, &body, &answer)
    }
}

fn classify_response(status: u16, body: &[u8], answer: &[u8]) -> EndKind {
    if status == 200 {
        let is_expected = answer == expected_answer(body);
        return if is_expected {
            EndKind::Answered
        } else {
            EndKind::Mismatched
        };
    }
    match serde_json::from_slice::<ProblemBody>(answer) {
        Ok(text) => EndKind::Refused {
            problem: text.problem,
            fate: text.fate,
        },
        Err(_) => EndKind::Refused {
            problem: format!("status-{status}"),
            fate: String::new(),
        },
    }
}
