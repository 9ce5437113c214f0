//! Configuration of the block frontend (`deploy/block.toml`): the listening address, and the volumes that are exported
//! as logical units.

use crate::config::WireSettings;
use crate::resources::repeat::read_text_file;
use crate::scheduler::{ClassId, ExtentId, PlanId, SchedulerSettings, ShardId, VolumeId};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Largest request or response body that a node supports, in bytes.
const MAX_TRANSFER_BYTES: u64 = 64 * 1024;

/// An error in the configuration file of the block frontend.
#[derive(Debug, Error)]
pub enum BlockConfigError {
    /// The file can't be read; holds its path.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The text is not TOML of the expected structure.
    #[error("block file: {0}")]
    Malformed(#[from] toml::de::Error),
    /// A field has an unsupported value; holds the field's name and the problem.
    #[error("block file: {0}: {1}")]
    Field(&'static str, String),
}

/// A number written in hexadecimal, as in the request paths of storage nodes.
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

/// Configuration of the iSCSI target: one portal and its logical units.
#[derive(Clone, Debug)]
pub struct Target {
    /// Listening address of the portal.
    pub listen: SocketAddr,
    /// iSCSI name of the target.
    pub name: String,
    /// Size of a logical block, in bytes.
    pub block_size: u32,
    /// Bytes per unit of request cost.
    pub unit_bytes: u64,
    /// Maximum number of outstanding commands per session.
    pub queue_depth: u32,
    /// Maximum number of open sessions.
    pub max_sessions: usize,
    /// Logical units, in ascending order of their numbers.
    pub luns: Vec<Lun>,
    /// Classes of reads (index 0) and writes (index 1): identifier, name and deadline in seconds.
    pub classes: [(ClassId, String, f64); 2],
    max_request_units: f64,
}

/// A logical unit, backed by one volume.
#[derive(Clone, Debug)]
pub struct Lun {
    /// Logical unit number.
    pub lun: u16,
    /// The volume that backs the unit.
    pub volume: VolumeId,
    /// Plan of the volume.
    pub plan: PlanId,
    /// Number of heads that receive requests for the volume; at least 1.
    pub hosts: u32,
    extent_blocks: u64,
    runs: Vec<Run>,
}

/// A run of consecutively numbered extents in one shard.
#[derive(Clone, Copy, Debug)]
struct Run {
    first: u64,
    count: u64,
    shard: ShardId,
}

/// The byte range of one extent that a command reads or writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockRange {
    /// Extent that holds the blocks.
    pub extent: ExtentId,
    /// Shard that holds the extent.
    pub shard: ShardId,
    /// Offset of the first byte within the extent.
    pub offset: u64,
    /// Length in bytes.
    pub length: usize,
    /// Cost of the command, in units.
    pub units: f64,
}

impl Target {
    /// Reads and parses the file at `path`. Plans, classes and the largest request size come from the other settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or [`Target::parse`] fails.
    pub fn load(
        path: &str,
        scheduler: &SchedulerSettings,
        wire: &WireSettings,
    ) -> Result<Target, BlockConfigError> {
        let text = read_text_file(path).map_err(|e| BlockConfigError::Unreadable(path.into(), e))?;
        Target::parse(&text, scheduler, wire)
    }

    /// Parses and validates the text of the configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML of the expected structure or a field has an unsupported value.
    pub fn parse(
        text: &str,
        scheduler: &SchedulerSettings,
        wire: &WireSettings,
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
            let index = wire.class_writes.iter().position(|w| *w == writes);
            index.map(|i| (ClassId(i), wire.class_names[i].clone(), scheduler.classes[i].deadline_s))
        };
        let (Some(reads), Some(writes)) = (class(false), class(true)) else {
            return bad("settings", "no class for reads or none for writes");
        };
        let mut luns = Vec::new();
        for entry in file.lun {
            let Some(plan) = wire.plan_names.iter().position(|name| *name == entry.plan) else {
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
            max_request_units: scheduler.max_request_units,
        })
    }

    /// Returns the logical unit with this number.
    pub fn lun(&self, number: u16) -> Option<&Lun> {
        self.luns.iter().find(|lun| lun.lun == number)
    }

    /// Returns the maximum number of blocks per command, which an extent, the largest body of a node and the largest
    /// request size limit; at least 1.
    pub fn max_blocks_per_command(&self, lun: &Lun) -> u64 {
        let by_units = (self.max_request_units.max(1.0) as u64).saturating_mul(self.unit_bytes);
        lun.extent_blocks.min(MAX_TRANSFER_BYTES.min(by_units) / u64::from(self.block_size)).max(1)
    }
}

impl Lun {
    /// Returns the capacity in blocks.
    pub fn blocks(&self) -> u64 {
        self.runs.iter().map(|run| run.count).sum::<u64>() * self.extent_blocks
    }

    /// Returns the location of `count` blocks from `lba` on, or `None` if they cross the end of an extent, lie past the
    /// last one or exceed the maximum of one command.
    pub fn locate(&self, target: &Target, lba: u64, count: u64) -> Option<BlockRange> {
        let within = lba % self.extent_blocks;
        if count > target.max_blocks_per_command(self) || within + count > self.extent_blocks {
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
        Some(BlockRange {
            extent: ExtentId(run.first + number),
            shard: run.shard,
            offset: within * size,
            length: length as usize,
            units: length.div_ceil(target.unit_bytes) as f64,
        })
    }
}
