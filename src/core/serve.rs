//! Serving a request from its arrival to its final answer.
//!
//! A request is in one of three states (`ServeState`):
//!
//! - `WaitingForDecision`: the request waits for the scheduler's decision, queued or in backoff between two attempts.
//! - `Attempting`: an attempt is about to be sent to a node, or in progress there.
//! - `Finished`: the outcome is known.
//!
//! Forwarding a streamed body is not a state of its own: it is `Attempting` with `is_forwarding_body()` true, after the
//! attempt has taken the body. From then on the request can't be retried, and the scheduler's deadline no longer applies.
//! The shutdown deadline ends it as any other: its last byte may come, and its answer be owed, at any moment before the
//! process is killed.

use crate::core::content::StreamedBody;
use crate::core::decision::{Decision, SendDecision};
use crate::core::dispatcher::OVERDUE_AFTER;
use crate::core::request_guard::RequestGuard;
use crate::core::upload::UploadStream;
use crate::core::{Answer, AttemptResult, Call, Dispatcher, ResponseWait, SendPermit, Transport};
use crate::metrics::counters::{FinalOutcome, InFlightRequest};
use crate::scheduler::{AttemptOutcome, Event};
use std::cell::Cell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// Longest retry delay that a client is advised, in seconds.
const MAX_RETRY_AFTER_S: f64 = 3600.0;

/// State of a request that is being served.
enum ServeState {
    /// Waiting for the scheduler's decision.
    WaitingForDecision,
    /// An attempt is about to be sent, or in progress.
    Attempting(SendDecision),
    /// The outcome is known, and the answer can be returned.
    Finished(Conclusion),
}

impl ServeState {
    /// The state that follows a decision made while no attempt is in progress.
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

    /// The state that follows a decision that cancelled an attempt. A request has at most one attempt at a time, so a
    /// decision to send another one is ignored.
    fn after_cancellation(decision: Decision) -> ServeState {
        match decision {
            Decision::Send(_) => ServeState::WaitingForDecision,
            other => ServeState::after_decision(other),
        }
    }
}

/// How a request has ended.
enum Conclusion {
    /// A node served the request.
    Served(StreamedBody),
    /// The scheduler rejected the request.
    Rejected {
        /// Seconds that the client should wait before it retries.
        retry_after_s: f64,
    },
    /// The scheduler decided that the request has failed.
    Failed,
    /// The shutdown deadline passed; the scheduler still considers the request in flight.
    AbortedByShutdown,
    /// The scheduler made no decision within [`OVERDUE_AFTER`] after the request's deadline.
    SchedulerOverdue,
    /// The streamed body ended early, before an attempt took it; the scheduler still considers the request in flight.
    UploadIncomplete,
}

/// How an attempt ended.
enum AttemptCompletion {
    /// The attempt completed without being cancelled.
    Completed(AttemptResult),
    /// A decision of the scheduler cancelled the attempt.
    Cancelled(Decision),
    /// The shutdown deadline passed.
    AbortedByShutdown,
}

/// An attempt that has ended, so that no further byte of it is written to the node.
struct EndedAttempt {
    number: usize,
    outcome: AttemptOutcome,
    end: AttemptCompletion,
}

impl Dispatcher {
    /// Serves a request from its arrival to its final answer. Dropping the future notifies the scheduler that the
    /// client has disconnected.
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
            // The scheduler still considers the request in flight: dropping the guard notifies it of the end.
            Conclusion::AbortedByShutdown | Conclusion::UploadIncomplete => {}
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

/// A request that has arrived and is not yet answered.
struct ActiveRequest<'a> {
    dispatcher: &'a Dispatcher,
    call: &'a Call,
    guard: RequestGuard,
    /// Whether a node may have executed any of the request's attempts.
    may_have_run: bool,
    /// End of the class's retry window, which begins with the first attempt that a node may have executed.
    retry_window_ends_at: Option<Instant>,
    /// When the scheduler's decision is overdue.
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

    /// Waits for the scheduler's decision until it is overdue or the shutdown deadline has passed. Meanwhile a streamed
    /// body is read ahead, so that a disconnect of its client is detected.
    async fn wait_for_decision(&self, shutdown: Pin<&mut impl Future<Output = ()>>) -> ServeState {
        tokio::select! {
            biased;
            decision = self.guard.decisions.recv() => ServeState::after_decision(decision),
            () = shutdown => {
                ServeState::Finished(Conclusion::AbortedByShutdown)
            }
            () = sleep_until(self.overdue_at) => ServeState::Finished(Conclusion::SchedulerOverdue),
            () = upload_incomplete(self.upload()) => ServeState::Finished(Conclusion::UploadIncomplete),
        }
    }

    /// Sends an attempt and waits until it ends. After that, no further byte of the attempt is written to the node.
    async fn run_attempt<T: Transport>(
        &mut self,
        transport: &T,
        send: &SendDecision,
        mut shutdown: Pin<&mut impl Future<Output = ()>>,
    ) -> EndedAttempt {
        if let Some(claim) = &self.call.id_claim {
            claim.attempt_begins();
        }
        let permit = Rc::new(self.send_permit(send));
        // Boxed, so that a request that is only waiting does not allocate the size of the attempt's future.
        let mut sending = Box::pin(transport.send(send.node, &self.call.node_request, &permit));
        let end = loop {
            tokio::select! {
                // Decisions are polled first, so that an attempt cancelled before its first byte is never written.
                biased;
                decision = self.guard.decisions.recv() => match decision {
                    // The scheduler takes the attempt for lost, but its node has begun to respond.
                    Decision::Cancel if permit.response_begun.get() => {}
                    decision => break AttemptCompletion::Cancelled(decision),
                },
                result = sending.as_mut() => break AttemptCompletion::Completed(result),
                () = shutdown.as_mut() => break AttemptCompletion::AbortedByShutdown,
                () = streaming_started(self.upload()) => self.notify_streaming_started(),
            }
        };
        // After the drop, `permit.written` no longer changes.
        drop(sending);
        let outcome = match &end {
            AttemptCompletion::Completed(result) => result.outcome,
            AttemptCompletion::Cancelled(_) | AttemptCompletion::AbortedByShutdown => {
                permit.written.get().outcome_if_cancelled()
            }
        };
        self.record_attempt_outcome(send.decided_at, outcome);
        EndedAttempt { number: send.attempt, outcome, end }
    }

    fn send_permit(&self, send: &SendDecision) -> SendPermit {
        let expires_at = self.dispatcher.clock().instant(send.expires_at).min(self.overdue_at);
        let may_retry = self.upload().is_none() && self.dispatcher.may_retry(self.call.class, send.attempt);
        SendPermit {
            expires_at,
            response_wait: ResponseWait::new(send.decided_at, expires_at, may_retry),
            retry_window_ends_at: self.retry_window_ends_at,
            is_repeatable: !self.may_have_run || self.dispatcher.is_retryable(self.call.class),
            shutdown_deadline: self.dispatcher.shutdown_deadline.clone(),
            client: self.call.client.clone(),
            upload: self.upload().cloned(),
            written: Cell::default(),
            response_begun: Cell::default(),
        }
    }

    /// Updates the request after an attempt: whether a node may have executed it, when its retry window ends and, for a
    /// streamed body, when the scheduler's decision is overdue.
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

    /// Reports an ended attempt to the scheduler and returns the next state. At the shutdown deadline, dropping the
    /// guard reports the attempt, after it has notified the scheduler that no answer is needed any more.
    fn report_attempt(&self, attempt: EndedAttempt) -> ServeState {
        match attempt.end {
            AttemptCompletion::Completed(result) => {
                self.notify_attempt_ended(attempt.number, &result);
                match result.outcome {
                    AttemptOutcome::Ok => ServeState::Finished(Conclusion::Served(result.body)),
                    _ => ServeState::WaitingForDecision,
                }
            }
            AttemptCompletion::Cancelled(decision) => {
                self.notify_attempt_ended(attempt.number, &AttemptResult::empty(attempt.outcome));
                ServeState::after_cancellation(decision)
            }
            AttemptCompletion::AbortedByShutdown => ServeState::Finished(Conclusion::AbortedByShutdown),
        }
    }

    fn notify_attempt_ended(&self, number: usize, result: &AttemptResult) {
        self.dispatcher.report_attempt(self.guard.id, number, result, self.upload());
    }

    /// Notifies the scheduler that a streamed body is being forwarded, so that the request's deadline no longer
    /// applies.
    fn notify_streaming_started(&self) {
        self.dispatcher.notify(&[Event::StreamingStarted { request: self.guard.id }]);
    }

    /// Counts and logs that the scheduler's decision is overdue.
    fn record_overdue(&self) {
        self.dispatcher.counters.overdue.add();
        log::error!("core: no decision by the request's deadline, request={}", self.guard.id.0);
    }

    /// The answer to a finished request. Its outcome is recorded here, except for a served request: the frontend that
    /// forwards the body records that.
    fn answer(&self, conclusion: Conclusion, in_flight: InFlightRequest) -> Answer {
        match conclusion {
            Conclusion::Served(body) => Answer::Served(body, in_flight),
            Conclusion::Rejected { retry_after_s } => rejected(retry_after_s, &in_flight),
            // The client no longer waits: dropping `in_flight` counts the request as `gone`.
            Conclusion::UploadIncomplete => Answer::Failed,
            Conclusion::AbortedByShutdown if !self.may_have_run => rejected(0.0, &in_flight),
            Conclusion::AbortedByShutdown | Conclusion::Failed | Conclusion::SchedulerOverdue => {
                failed(&in_flight)
            }
        }
    }

    /// The upload, if the request's body is streamed.
    fn upload(&self) -> Option<&'a Rc<UploadStream>> {
        self.call.node_request.payload.upload()
    }

    /// Whether an attempt has taken the streamed body to send it.
    fn is_forwarding_body(&self) -> bool {
        self.upload().is_some_and(|upload| upload.is_taken())
    }
}

/// Waits until an attempt takes the streamed body; forever if the body is buffered.
async fn streaming_started(upload: Option<&Rc<UploadStream>>) {
    match upload {
        Some(upload) => upload.wait_taken().await,
        None => std::future::pending().await,
    }
}

/// Reads a streamed body ahead and returns if it ends early. Waits forever if it does not, or if the body is buffered
/// or an attempt has taken it.
async fn upload_incomplete(upload: Option<&Rc<UploadStream>>) {
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
