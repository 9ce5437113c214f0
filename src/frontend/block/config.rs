//! `deploy/block.toml`: where the block front listens, and which volumes its logical units show.

use crate::config::WireSettings;
use crate::scheduler::{ClassId, ExtentId, PlanId, SchedulerSettings, ShardId, VolumeId};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest body that a node takes or gives.
const LONGEST_TRANSFER: u64 = 64 * 1024;

/// A block file that can't be served.
#[derive(Debug, Error)]
pub enum BlockConfigError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML of the form expected.
    #[error("block file: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A value that can't be served.
    #[error("block file: {0}: {1}")]
    Field(&'static str, String),
}

/// A number written as 16 hex digits, as on the platform's wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hex(u64);

impl<'de> Deserialize<'de> for Hex {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Hex, D::Error> {
        let text = String::deserialize(from)?;
        u64::from_str_radix(&text, 16).map(Hex).map_err(serde::de::Error::custom)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    target: String,
    block_size: u32,
    unit_bytes: u64,
    queue_depth: u32,
    max_sessions: usize,
    lun: Vec<LunEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LunEntry {
    lun: u16,
    volume: Hex,
    plan: String,
    hosts: u32,
    extent_blocks: u64,
    extents: Vec<RunEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RunEntry {
    first: Hex,
    count: u64,
    shard: u32,
}

/// The target: one portal with its logical units.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its iSCSI name.
    pub name: String,
    /// Bytes of a logical block.
    pub block_size: u32,
    /// Bytes that count as one unit.
    pub unit_bytes: u64,
    /// Commands that a session may have in hand.
    pub queue_depth: u32,
    /// Sessions at once.
    pub max_sessions: usize,
    /// The logical units, by number.
    pub luns: Vec<Lun>,
    /// The class of reads, and of writes, with their deadlines in seconds.
    pub classes: [(ClassId, String, f64); 2],
    most_units: f64,
}

/// One logical unit.
#[derive(Clone, Debug)]
pub struct Lun {
    /// Its number.
    pub lun: u16,
    /// The volume it shows.
    pub volume: VolumeId,
    /// The volume's plan.
    pub plan: PlanId,
    /// Hosts that the volume's requests come through.
    pub hosts: u32,
    extent_blocks: u64,
    runs: Vec<Run>,
}

/// Extents with consecutive numbers in one shard.
#[derive(Clone, Copy, Debug)]
struct Run {
    first: u64,
    count: u64,
    shard: ShardId,
}

/// Where the blocks of one command lie: a span of one extent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// The extent.
    pub extent: ExtentId,
    /// The shard that holds it.
    pub shard: ShardId,
    /// The first byte in it.
    pub offset: u64,
    /// Bytes.
    pub length: usize,
    /// What the command counts.
    pub units: f64,
}

impl Target {
    /// Reads the file; the settings give plans, classes and the largest request.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its text can't be used, as for [`Target::parse`].
    pub fn load(
        path: &str,
        set: &SchedulerSettings,
        notes: &WireSettings,
    ) -> Result<Target, BlockConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| BlockConfigError::Unreadable(path.into(), e))?;
        Target::parse(&text, set, notes)
    }

    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// The text is not TOML of the expected form, or a field has a value that can't be served.
    pub fn parse(
        text: &str,
        set: &SchedulerSettings,
        notes: &WireSettings,
    ) -> Result<Target, BlockConfigError> {
        let file: File = toml::from_str(text)?;
        let bad = |field, problem: &str| Err(BlockConfigError::Field(field, problem.into()));
        if !file.block_size.is_power_of_two() || !(512..=4096).contains(&file.block_size) {
            return bad("block_size", "must be a power of two from 512 to 4096");
        }
        if file.unit_bytes < u64::from(file.block_size) {
            return bad("unit_bytes", "must hold a block");
        }
        if !(1..=256).contains(&file.queue_depth) || !(1..=256).contains(&file.max_sessions) {
            return bad("queue_depth or max_sessions", "must be from 1 to 256");
        }
        if !file.target.starts_with("iqn.") || file.target.len() > 223 {
            return bad("target", "must be an iqn. name of at most 223 bytes");
        }
        let class = |writes: bool| {
            let place = notes.class_writes.iter().position(|w| *w == writes);
            place.map(|i| (ClassId(i), notes.class_names[i].clone(), set.classes[i].deadline_s))
        };
        let (Some(reads), Some(writes)) = (class(false), class(true)) else {
            return bad("settings", "no class for reads or none for writes");
        };
        let mut luns = Vec::new();
        for entry in file.lun {
            let Some(plan) = notes.plan_names.iter().position(|name| *name == entry.plan) else {
                return bad("lun.plan", &format!("{:?} is no plan of the settings", entry.plan));
            };
            if entry.lun >= 0x4000 || luns.iter().any(|l: &Lun| l.lun == entry.lun) {
                return bad("lun.lun", "must be below 16384 and named once");
            }
            if entry.extent_blocks == 0 || entry.extent_blocks > u64::from(u32::MAX) {
                return bad("lun.extent_blocks", "must be from 1 to 4294967295");
            }
            let runs = entry.extents.iter().filter(|r| r.count > 0);
            let runs: Vec<Run> =
                runs.map(|r| Run { first: r.first.0, count: r.count, shard: ShardId(r.shard) }).collect();
            let total = runs.iter().try_fold(0u64, |sum, run| {
                run.first.checked_add(run.count - 1)?;
                sum.checked_add(run.count)
            });
            if total.and_then(|extents| extents.checked_mul(entry.extent_blocks)).is_none_or(|all| all == 0) {
                return bad("lun.extents", "hold no block, or too many");
            }
            luns.push(Lun {
                lun: entry.lun,
                volume: VolumeId(entry.volume.0),
                plan: PlanId(plan),
                hosts: entry.hosts.max(1),
                extent_blocks: entry.extent_blocks,
                runs,
            });
        }
        luns.sort_by_key(|l| l.lun);
        Ok(Target {
            listen: file.listen,
            name: file.target,
            block_size: file.block_size,
            unit_bytes: file.unit_bytes,
            queue_depth: file.queue_depth,
            max_sessions: file.max_sessions,
            luns,
            classes: [reads, writes],
            most_units: set.max_request_units,
        })
    }

    /// A logical unit by its number.
    pub fn lun(&self, number: u16) -> Option<&Lun> {
        self.luns.iter().find(|lun| lun.lun == number)
    }

    /// Most blocks that one command may carry: no more than an extent, a body or the largest request.
    pub fn most_blocks(&self, lun: &Lun) -> u64 {
        let by_units = (self.most_units.max(1.0) as u64).saturating_mul(self.unit_bytes);
        lun.extent_blocks.min(LONGEST_TRANSFER.min(by_units) / u64::from(self.block_size)).max(1)
    }
}

impl Lun {
    /// Blocks in all.
    pub fn blocks(&self) -> u64 {
        self.runs.iter().map(|run| run.count).sum::<u64>() * self.extent_blocks
    }

    /// Where `count` blocks from `lba` on lie, if in one extent and no more than one command may carry.
    pub fn place(&self, target: &Target, lba: u64, count: u64) -> Option<Place> {
        let within = lba % self.extent_blocks;
        if count > target.most_blocks(self) || within + count > self.extent_blocks {
            return None;
        }
        let mut number = lba / self.extent_blocks;
        let run = self.runs.iter().find(|run| match number < run.count {
            true => true,
            false => {
                number -= run.count;
                false
            }
        })?;
        let size = u64::from(target.block_size);
        let length = count * size;
        Some(Place {
            extent: ExtentId(run.first + number),
            shard: run.shard,
            offset: within * size,
            length: length as usize,
            units: length.div_ceil(target.unit_bytes) as f64,
        })
    }
}
