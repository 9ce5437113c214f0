//! Tests of the claims of request ids.

use super::*;

fn ids() -> Rc<RequestIds> {
    RequestIds::new(Duration::from_secs(10))
}

/// Guards against a flood of newer ids that makes room by forgetting one whose request is still at a node.
#[test]
fn an_id_in_flight_can_not_be_claimed_again_at_any_number_of_ids() {
    let ids = ids();
    let open = ids.claim(b"open").expect("new");
    open.attempt_begins();
    for number in 0..2 * MAX_RECENT_IDS {
        let claim = ids.claim(number.to_string().as_bytes()).expect("new");
        claim.attempt_begins();
    }
    assert!(ids.claim(b"open").is_none());
    assert!(ids.recent.borrow().known.len() <= MAX_RECENT_IDS);
    drop(open);
    assert!(ids.claim(b"open").is_none(), "an attempt of it may still run");
}

#[tokio::test(start_paused = true)]
async fn an_id_can_be_claimed_again_once_no_node_can_run_it() {
    let ids = ids();
    drop(ids.claim(b"never sent").expect("new"));
    assert!(ids.claim(b"never sent").is_some());
    ids.claim(b"sent").expect("new").attempt_begins();
    assert!(ids.claim(b"sent").is_none());
    tokio::time::advance(Duration::from_secs(11)).await;
    assert!(ids.claim(b"sent").is_some());
}

/// Another process, whose messages arrive when they are received.
#[derive(Default)]
struct Peer {
    ids: RefCell<Option<Rc<RequestIds>>>,
    /// Claims of the other process that have not been received yet.
    inbox: RefCell<Vec<RequestKey>>,
    /// What the other process claims while an announcement is on its way.
    claims_meanwhile: RefCell<Vec<RequestKey>>,
    announced: RefCell<Vec<RequestKey>>,
}

impl ClaimPeers for Peer {
    fn receive_claims(&self) {
        let ids = self.ids.borrow().clone().expect("set");
        self.inbox.take().into_iter().for_each(|key| ids.note_peer_claim(key));
    }

    fn announce_claim(&self, key: RequestKey) {
        self.announced.borrow_mut().push(key);
        self.inbox.borrow_mut().append(&mut self.claims_meanwhile.borrow_mut());
    }
}

/// Guards against an id that runs in both processes of an upgrade.
#[test]
fn an_id_that_another_process_claims_before_or_meanwhile_is_not_claimed() {
    let (ids, peer) = (ids(), Rc::new(Peer::default()));
    peer.ids.replace(Some(ids.clone()));
    ids.set_peers(peer.clone());
    let [earlier, meanwhile] = [&b"earlier"[..], b"meanwhile"].map(RequestKey::of);
    peer.inbox.borrow_mut().push(earlier);
    assert!(ids.claim(b"earlier").is_none());
    peer.claims_meanwhile.borrow_mut().push(meanwhile);
    assert!(ids.claim(b"meanwhile").is_none());
    let claim = ids.claim(b"own").expect("new");
    assert_eq!(*peer.announced.borrow(), [meanwhile, RequestKey::of(b"own")]);
    assert!(ids.claimed().contains(&RequestKey::of(b"own")));
    drop(claim);
}
