//! Encodes the scheduler's actions as records for the simulator.

use crate::wire::Reply;
use flaxgap::scheduler::Action;

const SEND: u8 = 10;
const POLL_ENDPOINTS: u8 = 20;
const CANCEL: u8 = 30;
const WAKE_UP: u8 = 40;
const FAIL: u8 = 50;
const LOG: u8 = 80;
const PANICKED: u8 = 100;
const CHECK_HEALTH: u8 = 110;
const REJECT: u8 = 120;

/// Appends a record with an action of an instance to the reply.
pub fn action(action: &Action, instance_id: u32, reply: &mut Reply) {
    match action {
        Action::Send { request, node, expires_at } => {
            let record = reply.record(SEND, instance_id).put(&request.0.to_le_bytes());
            record.put(&expires_at.to_le_bytes()).target(node.0);
        }
        Action::Cancel { request, attempt } => {
            let attempt = u8::try_from(*attempt).unwrap_or(u8::MAX);
            reply.record(CANCEL, instance_id).put(&request.0.to_le_bytes()).put(&[attempt]);
        }
        Action::Reject { request, retry_after_s } => {
            let record = reply.record(REJECT, instance_id).put(&request.0.to_le_bytes());
            record.put(&retry_after_s.to_le_bytes());
        }
        Action::Fail { request } => {
            reply.record(FAIL, instance_id).put(&request.0.to_le_bytes());
        }
        Action::CheckHealth { node } => {
            reply.record(CHECK_HEALTH, instance_id).target(node.0);
        }
        Action::PollEndpoints => {
            reply.record(POLL_ENDPOINTS, instance_id).put(&[1]);
        }
        Action::WakeUp { delay_s } => {
            let record = reply.record(WAKE_UP, instance_id).put(&delay_s.to_le_bytes());
            record.put(&0u32.to_le_bytes());
        }
        Action::Log(text) => {
            reply.record(LOG, instance_id).text(text);
        }
    }
}

/// Appends a record that reports a panic of an instance's scheduler to the reply.
pub fn panicked(instance_id: u32, reply: &mut Reply) {
    reply.record(PANICKED, instance_id).text("the decision module panicked");
}
