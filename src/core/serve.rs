//! The life of one request, from its arrival to its one final answer.
//!
//! A request is in one of three states (`ServeState`):
//!
//! - `WaitingForDecision`: the scheduler has to decide. The request is queued, or backs off between two attempts.
//! - `Attempting`: one attempt is about to be sent to a node, or in progress there.
//! - `Finished`: its answer is known.
//!
//! Forwarding a streamed body, one that is not in memory, is no state of its own: it is `Attempting` with
//! `is_forwarding_body`, once the attempt has taken the body. From then on the request can't be sent again, the
//! scheduler's deadline no longer applies, and the shutdown deadline doesn't cut the request off.

use crate::core::content::StreamedBody;
use crate::core::decision::{Decision, SendDecision};
use crate::core::dispatcher::OVERDUE_AFTER;
use crate::core::request_guard::RequestGuard;
use crate::core::upload::UploadStream;
use crate::core::{Answer, AttemptResult, Call, Dispatcher, SendPermit, Transport};
use crate::metrics::counters::{FinalOutcome, InFlightRequest};
use crate::scheduler::{AttemptOutcome, Event};
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// Longest wait that a client is advised, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3600.0;

/// The state of a request that is being served.
enum ServeState {
    /// The scheduler has to decide.
    WaitingForDecision,
    /// An attempt is to be sent, or in progress.
    Attempting(SendDecision),
    /// The outcome is known; what remains is to answer.
    Finished(Conclusion),
}

impl ServeState {
    /// The state after a decision that came while no attempt was in progress.
    fn after_decision(decision: Decision) -> ServeState {
        match decision {
            Decision::Send(send) => ServeState::Attempting(send),
            Decision::Cancel => ServeState::WaitingForDecision,
            Decision::Reject { retry_after_s } => {
                ServeState::Finished(Conclusion::Rejected { retry_after_s })
            }
            Decision::Fail => ServeState::Finished(Conclusion::Failed),
        }
    }

    /// The state after a decision that ended an attempt. A request has one attempt at a time, so a decision to send
    /// another is not followed.
    fn after_interruption(decision: Decision) -> ServeState {
        match decision {
            Decision::Send(_) => ServeState::WaitingForDecision,
            other => ServeState::after_decision(other),
        }
    }
}

/// Why a request is finished.
enum Conclusion {
    /// A node served it.
    Served(StreamedBody),
    /// The scheduler rejected it.
    Rejected {
        /// Seconds that the client should wait before it retries.
        retry_after_s: f64,
    },
    /// The scheduler had it fail.
    Failed,
    /// The shutdown deadline came; the scheduler takes the request to be in flight.
    CutOffByShutdown,
    /// The scheduler owes a decision past the request's deadline.
    SchedulerOverdue,
    /// Its client ended a streamed body before an attempt had taken it; the scheduler takes the request to be in flight.
    UploadBroken,
}

/// What ended an attempt.
enum AttemptCompletion {
    /// It ended by itself.
    Completed(AttemptResult),
    /// A decision of the scheduler cancelled it.
    Interrupted(Decision),
    /// The shutdown deadline came.
    CutOffByShutdown,
}

/// An attempt of which nothing can reach the node any more.
struct EndedAttempt {
    number: usize,
    outcome: AttemptOutcome,
    end: AttemptCompletion,
}

impl Dispatcher {
    /// Serves one request, from its arrival to its one final answer. Dropping the future notifies the scheduler that
    /// the client has disconnected.
    pub async fn serve<T: Transport>(
        self: &Rc<Self>,
        transport: &T,
        call: Call,
        in_flight: InFlightRequest,
    ) -> Answer {
        in_flight.accept();
        let mut request = ActiveRequest::new(self, &call);
        let accepted_at = Instant::now();
        let observer = self.observer.borrow().clone();
        if let Some(observer) = &observer {
            observer.request_accepted(&call);
        }

        let mut shutdown = pin!(self.shutdown_deadline.passed());
        let mut state = ServeState::WaitingForDecision;
        let conclusion = loop {
            state = match state {
                ServeState::WaitingForDecision => request.wait_for_decision(shutdown.as_mut()).await,
                ServeState::Attempting(send) => {
                    let attempt = request.run_attempt(transport, &send, shutdown.as_mut()).await;
                    request.report_attempt(attempt)
                }
                ServeState::Finished(conclusion) => break conclusion,
            };
        };

        match conclusion {
            Conclusion::SchedulerOverdue => {
                request.record_overdue();
                return request.answer(conclusion, in_flight);
            }
            // The scheduler still takes the request to be in flight: the guard's drop corrects that.
            Conclusion::CutOffByShutdown | Conclusion::UploadBroken => {}
            Conclusion::Served(_) | Conclusion::Rejected { .. } | Conclusion::Failed => {
                request.guard.complete();
            }
        }
        let answer = request.answer(conclusion, in_flight);
        if let Some(observer) = &observer {
            observer.request_answered(&call, &answer, accepted_at.elapsed());
        }
        answer
    }
}

/// A request between its arrival and its answer.
struct ActiveRequest<'a> {
    dispatcher: &'a Dispatcher,
    call: &'a Call,
    guard: RequestGuard,
    /// Whether any attempt may have run.
    may_have_run: bool,
    /// When the class's retry window ends, from the first attempt that may have run.
    retry_window_ends_at: Option<Instant>,
    /// When the scheduler is overdue with its answer.
    overdue_at: Instant,
}

impl<'a> ActiveRequest<'a> {
    /// Registers a request with the scheduler.
    fn new(dispatcher: &'a Rc<Dispatcher>, call: &'a Call) -> ActiveRequest<'a> {
        ActiveRequest {
            dispatcher,
            call,
            guard: RequestGuard::register(dispatcher, call),
            may_have_run: false,
            retry_window_ends_at: None,
            overdue_at: call.deadline + OVERDUE_AFTER,
        }
    }

    /// Waits for the scheduler's decision, no longer than until the shutdown deadline or until it is overdue. A streamed
    /// body is read ahead meanwhile, so that its client's end is seen.
    async fn wait_for_decision(&self, shutdown: Pin<&mut impl Future<Output = ()>>) -> ServeState {
        tokio::select! {
            biased;
            decision = self.guard.decisions.recv() => ServeState::after_decision(decision),
            () = shutdown, if !self.is_forwarding_body() => {
                ServeState::Finished(Conclusion::CutOffByShutdown)
            }
            () = sleep_until(self.overdue_at) => ServeState::Finished(Conclusion::SchedulerOverdue),
            () = upload_broken(self.upload()) => ServeState::Finished(Conclusion::UploadBroken),
        }
    }

    /// Sends an attempt and waits for its end. When it returns, nothing of the attempt can reach the node any more.
    async fn run_attempt<T: Transport>(
        &mut self,
        transport: &T,
        send: &SendDecision,
        mut shutdown: Pin<&mut impl Future<Output = ()>>,
    ) -> EndedAttempt {
        let permit = Rc::new(self.send_permit(send));
        // Boxed, so that the future of a request that waits doesn't have the size of an attempt's.
        let mut sending = Box::pin(transport.send(send.node, &self.call.node_request, &permit));
        let end = loop {
            tokio::select! {
                // Decisions come first: an attempt that is cancelled before its first byte is never written.
                biased;
                decision = self.guard.decisions.recv() => break AttemptCompletion::Interrupted(decision),
                result = sending.as_mut() => break AttemptCompletion::Completed(result),
                () = shutdown.as_mut(), if !self.is_forwarding_body() => {
                    break AttemptCompletion::CutOffByShutdown;
                }
                () = streaming_started(self.upload()) => self.notify_streaming_started(),
            }
        };
        // From here on it is certain how much of the attempt was written.
        drop(sending);
        let outcome = match &end {
            AttemptCompletion::Completed(result) => result.outcome,
            AttemptCompletion::Interrupted(_) | AttemptCompletion::CutOffByShutdown => {
                permit.written.get().outcome_if_cancelled()
            }
        };
        self.record_attempt_outcome(send.decided_at, outcome);
        EndedAttempt { number: send.attempt, outcome, end }
    }

    fn send_permit(&self, send: &SendDecision) -> SendPermit {
        let expires_at = self.dispatcher.clock().instant(send.expires_at);
        SendPermit {
            expires_at: expires_at.min(self.overdue_at),
            retry_window_ends_at: self.retry_window_ends_at,
            shutdown_deadline: self.dispatcher.shutdown_deadline.clone(),
            client: self.call.client.clone(),
            upload: self.upload().cloned(),
            written: Cell::default(),
        }
    }

    /// Records an ended attempt's outcome: whether the request may have run, when its retry window ends, and, for a
    /// streamed body, when the scheduler is overdue.
    fn record_attempt_outcome(&mut self, decided_at: Instant, outcome: AttemptOutcome) {
        if self.is_forwarding_body() {
            self.overdue_at = self.overdue_at.max(Instant::now() + OVERDUE_AFTER);
        }
        if outcome.never_ran() {
            return;
        }
        self.may_have_run = true;
        if self.retry_window_ends_at.is_none() {
            let retry_window = self.dispatcher.retry_windows.get(self.call.class.0).copied().flatten();
            self.retry_window_ends_at = retry_window.map(|retry_window| decided_at + retry_window);
        }
    }

    /// Notifies the scheduler of an ended attempt and returns the state that follows. At the shutdown deadline the
    /// guard does so, after the scheduler was notified that no answer is owed any more.
    fn report_attempt(&self, attempt: EndedAttempt) -> ServeState {
        match attempt.end {
            AttemptCompletion::Completed(result) => {
                self.notify_attempt_ended(attempt.number, &result);
                match result.outcome {
                    AttemptOutcome::Ok => ServeState::Finished(Conclusion::Served(result.body)),
                    _ => ServeState::WaitingForDecision,
                }
            }
            AttemptCompletion::Interrupted(decision) => {
                self.notify_attempt_ended(attempt.number, &AttemptResult::empty(attempt.outcome));
                ServeState::after_interruption(decision)
            }
            AttemptCompletion::CutOffByShutdown => ServeState::Finished(Conclusion::CutOffByShutdown),
        }
    }

    fn notify_attempt_ended(&self, number: usize, result: &AttemptResult) {
        self.dispatcher.report_attempt(self.guard.id, number, result, self.upload());
    }

    /// Notifies the scheduler that a streamed body is forwarded, so that its deadline no longer applies.
    fn notify_streaming_started(&self) {
        self.dispatcher.notify(&[Event::StreamingStarted { request: self.guard.id }]);
    }

    /// Records that the scheduler owes a decision.
    fn record_overdue(&self) {
        self.dispatcher.counters.overdue.add();
        log::error!("core: no decision by the request's deadline, request={}", self.guard.id.0);
    }

    /// The answer to a finished request, whose outcome is recorded here, or for a body by whoever forwards it.
    fn answer(&self, conclusion: Conclusion, in_flight: InFlightRequest) -> Answer {
        match conclusion {
            Conclusion::Served(body) => Answer::Served(body, in_flight),
            Conclusion::Rejected { retry_after_s } => rejected(retry_after_s, &in_flight),
            // Nobody waits for it: it counts as gone.
            Conclusion::UploadBroken => Answer::Failed,
            Conclusion::CutOffByShutdown if !self.may_have_run => rejected(0.0, &in_flight),
            Conclusion::CutOffByShutdown | Conclusion::Failed | Conclusion::SchedulerOverdue => {
                failed(&in_flight)
            }
        }
    }

    /// The body that is forwarded as it arrives, if it isn't in memory.
    fn upload(&self) -> Option<&'a Rc<UploadStream>> {
        self.call.node_request.payload.upload()
    }

    /// Whether an attempt took the body that is forwarded as it arrives.
    fn is_forwarding_body(&self) -> bool {
        self.upload().is_some_and(|upload| upload.is_taken())
    }
}

/// Waits until a streamed body begins to be forwarded; for ever where the body is in memory.
async fn streaming_started(upload: Option<&Rc<UploadStream>>) {
    match upload {
        Some(upload) => upload.wait_taken().await,
        None => std::future::pending().await,
    }
}

/// Reads a streamed body ahead until it breaks off; waits for ever if it does not, or where the body is in memory.
async fn upload_broken(upload: Option<&Rc<UploadStream>>) {
    match upload {
        Some(upload) if !upload.is_taken() => {
            let error = upload.read_while_waiting().await;
            log::debug!("core: upload ended while it waited, error={error}");
        }
        _ => std::future::pending().await,
    }
}

fn failed(in_flight: &InFlightRequest) -> Answer {
    in_flight.finish(FinalOutcome::Failed);
    Answer::Failed
}

fn rejected(retry_after_s: f64, in_flight: &InFlightRequest) -> Answer {
    in_flight.finish(FinalOutcome::Rejected);
    Answer::Rejected { retry_after_s: retry_after_s.clamp(0.0, MAX_RETRY_AFTER_S) }
}
