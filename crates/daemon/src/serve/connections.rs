//! Connections: dialing, accepting, hellos, reading and writing.

use std::io;
use std::net::SocketAddr;

use appledyke_consensus::Id;
use appledyke_fleet::messages::{Frame, Initiator, OperatorReply, VERSION, check_hello};
use appledyke_sidecar::net::connection::{self, Connection};
use appledyke_sidecar::net::slots::Key;

use super::{Daemon, MAX_CONNECTIONS, MAX_READ_BYTES, MAX_UNSENT_BYTES, Peer, REDIAL_DELAY};

impl Daemon {
    pub(super) fn dial(&mut self, replica_id: u16, at: SocketAddr, id: Id) {
        let version = self.negotiations.entry(replica_id).or_default().version();
        let (now, registry) = (self.now, self.poll.registry());
        let opened = self.peers.insert_with(|key| {
            let connection = Connection::open(at, registry, key.only_token())?;
            Ok::<_, io::Error>(Peer::new(connection, now, Some(replica_id), version))
        });
        let entry = self.dials.get_mut(&replica_id).expect("a replica id from dials");
        (entry.1, entry.2) = (opened.as_ref().ok().copied(), now + REDIAL_DELAY);
        let Ok(key) = opened else { return };
        self.send(key, &Frame::hello_as(version, &self.configuration.fleet.clone(), Initiator::Replica(id)));
        // The peer may have been away when these digests were sent.
        let own = self.configuration.replica_id;
        let digests: Vec<_> =
            self.digests.iter().filter_map(|(index, digests)| Some((*index, *digests.get(&own)?))).collect();
        for (index, digest) in digests {
            self.send(key, &Frame::Digest { index, digest });
        }
    }

    pub(super) fn accept(&mut self) {
        loop {
            let stream = match connection::accept(&self.listener) {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(e) => return tracing::warn!("accept: {e}"),
            };
            if self.peers.len() >= MAX_CONNECTIONS {
                // Danger: a connection left open without an answer looks like a daemon that hangs. Once it is closed, the peer
                // turns to another daemon.
                continue;
            }
            let (now, registry) = (self.now, self.poll.registry());
            let taken = self.peers.insert_with(|key| {
                let connection = Connection::from_stream(stream, registry, key.only_token())?;
                Ok::<_, io::Error>(Peer::new(connection, now, None, VERSION))
            });
            if let Err(e) = taken {
                tracing::warn!("accept: {e}");
            }
        }
    }

    pub(super) fn close_connection(&mut self, key: Key) {
        let Some(peer) = self.peers.remove(key) else { return };
        if let Some(entry) = peer.dialed.and_then(|replica_id| self.dials.get_mut(&replica_id)) {
            (entry.1, entry.2) = (None, self.now + REDIAL_DELAY);
        }
        // A peer that was reached and sent no hello may speak an older version. One that rejected the hello was handled when
        // its rejection arrived.
        if let Some(replica_id) = peer.dialed.filter(|_| peer.initiator.is_none())
            && (peer.connection.unsent() == 0 || peer.connection.is_up().is_ok_and(|up| up))
            && self
                .negotiations
                .get(&replica_id)
                .is_some_and(|negotiation| negotiation.version() == peer.protocol_version)
        {
            self.negotiations.entry(replica_id).or_default().on_closed();
        }
        peer.connection.close(self.poll.registry());
    }

    pub(super) fn on_readable(&mut self, key: Key) {
        loop {
            let now = self.now;
            let Some(peer) = self.peers.get_mut(key) else { return };
            let flushed = peer.connection.flush().is_ok();
            // Danger: read even where sending failed, or a rejection that the peer sent before it closed would be lost.
            let intact = peer.connection.fill(MAX_READ_BYTES).is_ok() && flushed;
            if peer.connection.unsent() == 0 {
                peer.last_flushed = now;
            }
            peer.frames.push(&peer.connection.input);
            peer.connection.input.clear();
            let (ended, more) = (!intact || peer.connection.ended, peer.connection.full);
            loop {
                let Some(peer) = self.peers.get_mut(key) else { return };
                match peer.frames.pop() {
                    Ok(Some(frame)) => self.on_frame(key, frame),
                    Ok(None) => break,
                    Err(what) => {
                        tracing::warn!("closing a connection: {what}");
                        return self.close_connection(key);
                    }
                }
            }
            if ended {
                return self.close_connection(key);
            }
            if !more {
                return;
            }
        }
    }

    pub(super) fn send(&mut self, key: Key, frame: &Frame) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(key) else { return };
        let mut bytes = Vec::new();
        if !frame.write(&mut bytes) {
            return tracing::error!("a frame exceeds the size limit and is not sent");
        }
        if peer.connection.unsent() == 0 {
            peer.last_flushed = now;
        }
        peer.connection.queue(&[&bytes], 0);
        // Until the connection is established the bytes stay queued.
        let _ = peer.connection.flush();
        if peer.connection.unsent() > MAX_UNSENT_BYTES {
            tracing::warn!("closing a connection: its peer does not read");
            self.close_connection(key);
        }
    }

    pub(super) fn send_to(&mut self, replica_id: u16, frame: &Frame) {
        if let Some((_, Some(key), _)) = self.dials.get(&replica_id).copied() {
            self.send(key, frame);
        }
    }

    pub(super) fn reply(&mut self, key: Key, number: u64, reply: OperatorReply) {
        self.send(key, &Frame::Reply { number, reply });
    }

    pub(super) fn on_frame(&mut self, key: Key, frame: Frame) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        let (initiator, dialed) = (peer.initiator.clone(), peer.dialed);
        match (frame, initiator) {
            (Frame::Rejected(why), _) => {
                tracing::warn!("rejected by a peer: {why}");
                if let Some(replica_id) = dialed {
                    self.negotiations.entry(replica_id).or_default().on_rejected();
                }
                self.close_connection(key);
            }
            (frame @ Frame::Hello { .. }, None) => {
                match check_hello(&frame, &self.configuration.fleet, peer.protocol_version) {
                    Ok((initiator, protocol_version)) => {
                        self.on_hello(key, initiator, protocol_version, dialed)
                    }
                    Err(why) => {
                        self.send(key, &Frame::Rejected(why.clone()));
                        tracing::warn!("closing a connection: {why}");
                        self.close_connection(key);
                    }
                }
            }
            (Frame::Consensus(message), Some(Initiator::Replica(id)))
                if dialed.is_none() && message.from == id =>
            {
                if let Some(active) = &mut self.active {
                    active.replica.receive(message);
                    self.process_ready();
                }
            }
            (Frame::Digest { index, digest }, Some(Initiator::Replica(id))) if dialed.is_none() => {
                self.compare_digests(index, id.replica_id, digest);
            }
            (Frame::Locality(locality), Some(Initiator::Member { .. }))
                if peer.protocol_version >= VERSION =>
            {
                match locality.check() {
                    Ok(()) => peer.locality = locality,
                    Err(why) => {
                        tracing::warn!("closing a connection: locality of a member: {why}");
                        self.close_connection(key);
                    }
                }
            }
            (Frame::Report(report), Some(Initiator::Member { name })) if report.name == name => {
                self.on_report(key, report)
            }
            (Frame::DrainRequest { ask: request, anyway: force }, Some(Initiator::Member { name })) => {
                self.on_drain_request(key, name, request, force)
            }
            (Frame::Request { number, ask: request }, Some(Initiator::Operator)) => {
                self.on_request(key, number, request)
            }
            _ => {
                tracing::warn!("closing a connection: its peer may not send this frame");
                self.close_connection(key);
            }
        }
    }

    pub(super) fn on_hello(
        &mut self,
        key: Key,
        initiator: Initiator,
        protocol_version: u16,
        dialed: Option<u16>,
    ) {
        if let Some(replica_id) = dialed {
            self.negotiations.entry(replica_id).or_default().on_accepted();
        } else {
            if let Initiator::Replica(id) = &initiator {
                // Danger: messages that an earlier process of this replica left in its connection are stale, and must not be
                // taken for messages of the new process.
                let earlier = self.peers.iter().filter(|(_, peer)| {
                    peer.dialed.is_none()
                        && matches!(&peer.initiator, Some(Initiator::Replica(other)) if other.replica_id == id.replica_id)
                });
                for earlier in earlier.map(|(key, _)| key).collect::<Vec<_>>() {
                    self.close_connection(earlier);
                }
                // Danger: a replica that was replaced by one of an older version would still count as one of this version, by
                // the hello of its earlier process; and one mistaken for an older version would stay so.
                let other = self.dials.get(&id.replica_id).and_then(|(_, key, _)| *key);
                let differs =
                    |peer: &&Peer| peer.initiator.is_some() && peer.protocol_version != protocol_version;
                if let Some(other) = other.filter(|other| self.peers.get(*other).filter(differs).is_some()) {
                    self.close_connection(other);
                }
            }
            let hello =
                Frame::hello_as(protocol_version, &self.configuration.fleet, Initiator::Replica(self.id()));
            self.send(key, &hello);
        }
        if let Some(peer) = self.peers.get_mut(key) {
            (peer.initiator, peer.protocol_version) = (Some(initiator), protocol_version);
        }
    }
}
