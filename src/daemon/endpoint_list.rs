//! The endpoint list at startup. The head starts to serve with the first list from the source, or with the cached list of
//! an earlier process if the source does not answer in time.

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

/// Source of the endpoint list.
pub(super) enum EndpointListSource {
    /// Discovery, at the configured address; a reload may change it.
    Discovery(watch::Receiver<SocketAddr>),
    /// The relays named in the operators' file.
    Relays(Box<RelayFollower>),
}

impl EndpointListSource {
    /// Selects the relays if the operators' file configures them, and discovery otherwise.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Relays`] if the list of relays is invalid.
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

    /// Applies the source's lists to the directory. Never returns.
    async fn follow(self, directory: &Rc<EndpointDirectory>, cached_list_serves: bool) {
        match self {
            EndpointListSource::Discovery(address) => directory.follow(address, cached_list_serves).await,
            EndpointListSource::Relays(follower) => follower.run().await,
        }
    }
}

/// Follows the endpoint list, and calls `serve` once the head has a list to serve with: the first one from the source,
/// or the cached one if the source does not answer within the start timeout. Never returns.
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

/// Applies the cached list, if there is one. Returns whether the head can serve with it: it parses and has endpoints.
fn apply_cached_list(directory: &Rc<EndpointDirectory>, cached_list: Option<serde_json::Value>) -> bool {
    let Some(cached_list) = cached_list else { return false };
    let list = match EndpointList::from_value(cached_list) {
        Ok(list) => list,
        Err(error) => {
            log::warn!("daemon: known list: {error}");
            return false;
        }
    };
    let has_endpoints = !list.entries.is_empty();
    directory.apply(list, &mut SourceCursor::default(), UpdateKind::CachedSnapshot);
    has_endpoints
}

/// Waits for the first list from the source. With a usable cached list, waits at most for the start timeout.
async fn wait_for_list(directory: &EndpointDirectory, cached_list_serves: bool) {
    if !cached_list_serves {
        directory.synced().await;
    } else if timeout(directory.start_timeout(), directory.synced()).await.is_err() {
        log::warn!("daemon: in service with the list of an earlier life{}", relay_details(directory));
    }
}

/// Text that a head with relays appends to the log line: version and age of the cached list, and the number of reachable
/// relays. Empty for a head that follows discovery.
fn relay_details(directory: &EndpointDirectory) -> String {
    let Some(relays) = directory.relays_reachable() else { return String::new() };
    let relays =
        if relays == 0 { "no relay is reachable".into() } else { format!("{relays} relays are reachable") };
    format!(": version {}, read {:?} ago; {relays}", directory.version(), directory.list_age())
}
