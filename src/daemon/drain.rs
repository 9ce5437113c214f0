//! Graceful shutdown after SIGTERM or SIGINT: completes all accepted requests, and keeps accepting connections until
//! shortly before the platform would kill the process.

use super::build::Parts;
use super::run::Server;
use super::shutdown_schedule::ShutdownSchedule;
use super::signals::NoticedSignal;
use crate::lifecycle::Phase;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time in which tasks write what they still hold, once answers have been broken off.
const LAST_WRITE_TIME: Duration = Duration::from_millis(100);
/// Shuts the process down: accepts connections until they have to close, completes the accepted requests, and closes the
/// listening sockets. Returns when all client connections are closed, or at the end of the schedule.
pub(super) async fn drain(parts: &Parts, server: Server, signal: NoticedSignal, longest_deadline_s: f64) {
    parts.lifecycle.enter(Phase::Draining);
    let schedule = ShutdownSchedule::new(signal, longest_deadline_s);
    log_schedule(&schedule, signal);
    parts.dispatcher.set_shutdown_deadline(schedule.last_answer_by);
    serve_until_connections_close(parts, &server, &schedule).await;
    parts.lifecycle.close_idle_connections(schedule.last_answer_by);
    accept_last_connections(parts, &server, &schedule).await;
    drop(server);
    parts.handover.close_sockets();
    close_connections(parts, &schedule).await;
    parts.lifecycle.enter(Phase::Stopped);
}

/// Accepts the connections that are queued, and breaks answers off if descriptors for them run short for so long. Ends with
/// the schedule.
async fn accept_last_connections(parts: &Parts, server: &Server, schedule: &ShutdownSchedule) {
    let mut accepting = pin!(accept_queued_connections(server));
    tokio::select! {
        biased;
        () = accepting.as_mut() => return,
        () = break_off_answers(parts, schedule) => {}
    }
    if timeout_at(schedule.earliest_kill, accepting).await.is_err() {
        log::error!("daemon: no descriptors for queued connections, which are reset");
    }
}

/// Breaks off the answers that are not complete by their time, so that no client takes the end of the process for the end
/// of its answer.
async fn break_off_answers(parts: &Parts, schedule: &ShutdownSchedule) {
    sleep_until(schedule.break_off_at).await;
    parts.lifecycle.break_off_answers();
}

/// Logs the moments of a shutdown.
fn log_schedule(schedule: &ShutdownSchedule, signal: NoticedSignal) {
    let now = Instant::now();
    log::info!(
        "daemon: shutdown scheduled, noticed={:?} ago, sent_within={:?}, connections close in {:?}, last answers in {:?}, \
         end in {:?}",
        now.saturating_duration_since(signal.noticed_at),
        now.saturating_duration_since(signal.earliest_sent_at),
        schedule.close_connections_at.saturating_duration_since(now),
        schedule.last_answer_by.saturating_duration_since(now),
        schedule.earliest_kill.saturating_duration_since(now)
    );
}

/// Waits until all client connections are closed, with their answers broken off from the scheduled time on.
async fn close_connections(parts: &Parts, schedule: &ShutdownSchedule) {
    tokio::select! {
        biased;
        () = parts.lifecycle.connections_closed() => return,
        () = break_off_answers(parts, schedule) => {}
    }
    // The process may have been held up past its end: what it owes is written all the same.
    let end = schedule.earliest_kill.max(Instant::now() + LAST_WRITE_TIME);
    if timeout_at(end, parts.lifecycle.connections_closed()).await.is_err() {
        log::warn!(
            "daemon: connections still open at the end, connections={} requests={}",
            parts.lifecycle.open_connections(),
            parts.counters.in_flight()
        );
    }
}

/// Accepts connections until the scheduled time to close them, until no connection is open, or until a newer process
/// accepts connections in place of this one.
async fn serve_until_connections_close(parts: &Parts, server: &Server, schedule: &ShutdownSchedule) {
    let all_closed = async {
        sleep_until(schedule.accepting_until).await;
        parts.lifecycle.connections_closed().await;
    };
    tokio::select! {
        never = server.listen() => match never {},
        () = sleep_until(schedule.close_connections_at) => {}
        () = all_closed => {}
        // New connections reach the newer process through the shared accept queue.
        () = parts.handover.wait_for_newer_in_service() => {}
    }
}

/// Accepts the connections in the kernel's accept queue, which closing the listening socket would reset.
async fn accept_queued_connections(server: &Server) {
    let acceptor = server.frontend.acceptor(&server.listener);
    while let Some(accepted) = acceptor.accept_queued().await {
        server.frontend.admit(accepted);
    }
}
