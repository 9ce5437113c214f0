//! The endpoint list at the start: the cached list of an earlier process, the first list from the source, and
//! the moment from which the head serves.

use super::DaemonError;
use crate::config::Config;
use crate::discovery::EndpointDirectory;
use crate::discovery::relays::RelayFollower;
use crate::discovery::relays::settings::DistributionSettings;
use crate::scheduler::UpdateKind;
use flaxgap_membership::SourceCursor;
use flaxgap_membership::list::EndpointList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::timeout;

/// Where the endpoint list comes from.
pub(super) enum EndpointListSource {
    /// Discovery, at the address that the configuration names.
    Discovery(watch::Receiver<SocketAddr>),
    /// Relays.
    Relays(Box<RelayFollower>),
}

impl EndpointListSource {
    /// Relays where the operators' file names them, and discovery otherwise.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Relays`] if the relays can't be followed.
    pub(super) fn new(
        relays: Option<DistributionSettings>,
        discovery: watch::Receiver<SocketAddr>,
        directory: &Rc<EndpointDirectory>,
        config: &Config,
    ) -> Result<EndpointListSource, DaemonError> {
        let Some(relays) = relays else { return Ok(EndpointListSource::Discovery(discovery)) };
        let follower = RelayFollower::new(directory.clone(), &config.name, &relays, config.seed)?;
        Ok(EndpointListSource::Relays(Box::new(follower)))
    }

    /// Follows the source for as long as it is polled.
    async fn follow(self, directory: &Rc<EndpointDirectory>, cached_list_serves: bool) {
        match self {
            EndpointListSource::Discovery(address) => directory.follow(address, cached_list_serves).await,
            EndpointListSource::Relays(follower) => follower.run().await,
        }
    }
}

/// Follows the endpoint list, and calls `serve` once the head has a list that it can serve with: the first one
/// from the source, or after a timeout the cached one.
pub(super) async fn follow_endpoint_list(
    directory: Rc<EndpointDirectory>,
    cached_list: Option<serde_json::Value>,
    source: EndpointListSource,
    serve: impl FnOnce(),
) {
    let cached_list_serves = apply_cached_list(&directory, cached_list);
    let ready = async {
        wait_for_list(&directory, cached_list_serves).await;
        serve();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = ready => {}
        () = source.follow(&directory, cached_list_serves) => {}
    }
}

/// Applies the cached list, if there is one; whether the head can serve with it.
fn apply_cached_list(directory: &Rc<EndpointDirectory>, cached_list: Option<serde_json::Value>) -> bool {
    let Some(cached_list) = cached_list else { return false };
    let list = match EndpointList::from_value(cached_list) {
        Ok(list) => list,
        Err(problem) => {
            log::warn!("daemon: known list: {problem}");
            return false;
        }
    };
    let has_endpoints = !list.entries.is_empty();
    directory.apply(list, &mut SourceCursor::default(), UpdateKind::CachedSnapshot);
    has_endpoints
}

/// Waits for the first list from the source; with a cached list, no longer than the timeout at the start.
async fn wait_for_list(directory: &EndpointDirectory, cached_list_serves: bool) {
    if !cached_list_serves {
        directory.synced().await;
    } else if timeout(directory.start_timeout(), directory.synced()).await.is_err() {
        log::warn!("daemon: in service with the list of an earlier life{}", relay_details(directory));
    }
}

/// What the log says in addition where relays are followed: the cached list's version and age, and how many
/// relays answer.
fn relay_details(directory: &EndpointDirectory) -> String {
    let Some(relays) = directory.relays_reachable() else { return String::new() };
    let relays = if relays == 0 { "no relay is reachable".into() } else { format!("{relays} relays speak") };
    format!(": version {}, read {:?} ago; {relays}", directory.version(), directory.list_age())
}
