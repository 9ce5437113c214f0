//! The scheduler instances of a simulated host, and the endpoint lists to which their events refer.

use crate::decode::{self, RecordCode};
use crate::encode;
use crate::wire::{BatchHeader, FrameError, Reader, Reply};
use flaxgap::Scheduler;
use flaxgap::config::{self, WireSettings};
use flaxgap::scheduler::{Endpoint, Event};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A scheduler with its events of the current batch.
struct Instance {
    scheduler: Scheduler,
    wire_settings: WireSettings,
    events: Vec<Event>,
}

/// All running instances, and all endpoint lists received so far, by id.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    endpoint_lists: BTreeMap<u32, Vec<Endpoint>>,
}

impl Host {
    /// Decodes the records of a batch, then calls the scheduler of each instance with a record in the batch once. The
    /// instances are called in the order of their first records.
    pub fn handle_batch(&mut self, header: &BatchHeader, body: &[u8]) -> Result<Reply, FrameError> {
        let mut reader = Reader::new(body);
        let mut instance_ids = Vec::new();
        while !reader.is_at_end() {
            let code = reader.u8()?;
            if code == RecordCode::ENDPOINT_LIST {
                let list = decode::endpoint_list(&mut reader)?;
                self.endpoint_lists.insert(list.id, list.endpoints);
                continue;
            }
            let instance_id = reader.u32()?;
            self.handle_record(code, instance_id, header.clock, &mut reader)?;
            if !instance_ids.contains(&instance_id) {
                instance_ids.push(instance_id);
            }
        }
        let mut reply = Reply::default();
        for instance_id in instance_ids {
            if let Some(instance) = self.instances.get_mut(&instance_id) {
                instance.handle_events(instance_id, header.clock, &mut reply);
            }
        }
        Ok(reply)
    }

    fn handle_record(
        &mut self,
        code: u8,
        instance_id: u32,
        clock: f64,
        reader: &mut Reader,
    ) -> Result<(), FrameError> {
        match code {
            RecordCode::LAUNCH => self.launch(instance_id, clock, reader),
            RecordCode::STOP => {
                self.instances.remove(&instance_id);
                Ok(())
            }
            _ => self.queue_event(code, instance_id, reader),
        }
    }

    fn launch(&mut self, instance_id: u32, clock: f64, reader: &mut Reader) -> Result<(), FrameError> {
        let seed = reader.u64()?;
        let length = reader.u32()? as usize;
        let text = reader.take(length)?;
        let (settings, wire_settings) =
            config::read(text).map_err(|error| FrameError::Settings(error.to_string()))?;
        let scheduler =
            Scheduler::new(settings, seed, clock).map_err(|error| FrameError::Settings(error.to_string()))?;
        let instance = Instance { scheduler, wire_settings, events: Vec::new() };
        self.instances.insert(instance_id, instance);
        Ok(())
    }

    /// Decodes an event and queues it for its instance. An event for an unknown instance is decoded and dropped, so that
    /// the reader advances to the next record.
    fn queue_event(&mut self, code: u8, instance_id: u32, reader: &mut Reader) -> Result<(), FrameError> {
        let instance = self.instances.get_mut(&instance_id);
        let report_names = instance.as_ref().map_or(&[][..], |instance| &instance.wire_settings.report_names);
        let event = decode::event(code, reader, report_names, &self.endpoint_lists)?;
        if let (Some(event), Some(instance)) = (event, instance) {
            instance.events.push(event);
        }
        Ok(())
    }
}

impl Instance {
    fn handle_events(&mut self, instance_id: u32, clock: f64, reply: &mut Reply) {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let scheduler = &mut self.scheduler;
        let handled = catch_unwind(AssertUnwindSafe(|| scheduler.handle(clock, &events, &mut actions)));
        if handled.is_err() {
            encode::panicked(instance_id, reply);
            return;
        }
        for action in &actions {
            encode::action(action, instance_id, reply);
        }
    }
}
