//! Connections: dialed and taken, greeted, read and written.

use std::io;
use std::net::SocketAddr;

use appledyke_consensus::Id;
use appledyke_fleet::messages::{Frame, Initiator, OperatorReply, VERSION, check_hello};
use appledyke_sidecar::net::connection::{self, Connection};
use appledyke_sidecar::net::slots::Key;

use super::{CONNECTIONS_MOST, DIAL_AGAIN, Daemon, Peer, READ_MOST, UNSENT_MOST};

impl Daemon {
    pub(super) fn dial(&mut self, place: u16, at: SocketAddr, id: Id) {
        let version = self.greetings.entry(place).or_default().version();
        let (now, registry) = (self.now, self.poll.registry());
        let opened = self.peers.insert_with(|key| {
            let connection = Connection::open(at, registry, key.only_token())?;
            Ok::<_, io::Error>(Peer::new(connection, now, Some(place), version))
        });
        let entry = self.dials.get_mut(&place).expect("a place that is dialed");
        (entry.1, entry.2) = (opened.as_ref().ok().copied(), now + DIAL_AGAIN);
        let Ok(key) = opened else { return };
        self.send(key, &Frame::hello_as(version, &self.configuration.fleet.clone(), Initiator::Replica(id)));
        // What it knows of the state, for one that was not there to hear it.
        let own = self.configuration.place;
        let marks: Vec<_> =
            self.marks.iter().filter_map(|(index, marks)| Some((*index, *marks.get(&own)?))).collect();
        for (index, digest) in marks {
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
            if self.peers.len() >= CONNECTIONS_MOST {
                // Danger: kept waiting it would look like a daemon that hangs; closed, it goes to another.
                continue;
            }
            let (now, registry) = (self.now, self.poll.registry());
            let taken = self.peers.insert_with(|key| {
                let connection = Connection::take(stream, registry, key.only_token())?;
                Ok::<_, io::Error>(Peer::new(connection, now, None, VERSION))
            });
            if let Err(e) = taken {
                tracing::warn!("accept: {e}");
            }
        }
    }

    pub(super) fn hang_up(&mut self, key: Key) {
        let Some(peer) = self.peers.remove(key) else { return };
        if let Some(entry) = peer.dialed.and_then(|place| self.dials.get_mut(&place)) {
            (entry.1, entry.2) = (None, self.now + DIAL_AGAIN);
        }
        // One that was reached and said nothing may be of an older version; one that has refused has said so itself.
        if let Some(place) = peer.dialed.filter(|_| peer.who.is_none())
            && (peer.connection.unsent() == 0 || peer.connection.is_up().is_ok_and(|up| up))
            && self.greetings.get(&place).is_some_and(|greeting| greeting.version() == peer.speaks)
        {
            self.greetings.entry(place).or_default().on_closed();
        }
        peer.connection.close(self.poll.registry());
    }

    pub(super) fn ready(&mut self, key: Key) {
        loop {
            let now = self.now;
            let Some(peer) = self.peers.get_mut(key) else { return };
            let flushed = peer.connection.flush().is_ok();
            // Danger: a refusal that came before the end would be lost with what could not be sent.
            let works = peer.connection.fill(READ_MOST).is_ok() && flushed;
            if peer.connection.unsent() == 0 {
                peer.clear = now;
            }
            peer.frames.push(&peer.connection.input);
            peer.connection.input.clear();
            let (ended, more) = (!works || peer.connection.ended, peer.connection.full);
            loop {
                let Some(peer) = self.peers.get_mut(key) else { return };
                match peer.frames.pop() {
                    Ok(Some(frame)) => self.hear(key, frame),
                    Ok(None) => break,
                    Err(what) => {
                        tracing::warn!("a connection is closed: {what}");
                        return self.hang_up(key);
                    }
                }
            }
            if ended {
                return self.hang_up(key);
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
            return tracing::error!("a frame is too long and is not sent");
        }
        if peer.connection.unsent() == 0 {
            peer.clear = now;
        }
        peer.connection.queue(&[&bytes], 0);
        // One that is not up yet is written to once it is.
        let _ = peer.connection.flush();
        if peer.connection.unsent() > UNSENT_MOST {
            tracing::warn!("a connection is closed: its peer takes nothing");
            self.hang_up(key);
        }
    }

    pub(super) fn send_to(&mut self, place: u16, frame: &Frame) {
        if let Some((_, Some(key), _)) = self.dials.get(&place).copied() {
            self.send(key, frame);
        }
    }

    pub(super) fn reply(&mut self, key: Key, number: u64, reply: OperatorReply) {
        self.send(key, &Frame::Reply { number, reply });
    }

    pub(super) fn hear(&mut self, key: Key, frame: Frame) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        let (who, dialed) = (peer.who.clone(), peer.dialed);
        match (frame, who) {
            (Frame::Rejected(why), _) => {
                tracing::warn!("not taken by another: {why}");
                if let Some(place) = dialed {
                    self.greetings.entry(place).or_default().on_rejected();
                }
                self.hang_up(key);
            }
            (frame @ Frame::Hello { .. }, None) => {
                match check_hello(&frame, &self.configuration.fleet, peer.speaks) {
                    Ok((who, speaks)) => self.greet(key, who, speaks, dialed),
                    Err(why) => {
                        self.send(key, &Frame::Rejected(why.clone()));
                        tracing::warn!("a connection is closed: {why}");
                        self.hang_up(key);
                    }
                }
            }
            (Frame::Consensus(message), Some(Initiator::Replica(id)))
                if dialed.is_none() && message.from == id =>
            {
                if let Some(life) = &mut self.life {
                    life.replica.receive(message);
                    self.work();
                }
            }
            (Frame::Digest { index, digest }, Some(Initiator::Replica(id))) if dialed.is_none() => {
                self.compare(index, id.replica_id, digest);
            }
            (Frame::Locality(locality), Some(Initiator::Member { .. })) if peer.speaks >= VERSION => {
                match locality.check() {
                    Ok(()) => peer.locality = locality,
                    Err(why) => {
                        tracing::warn!("a connection is closed: what a member belongs to: {why}");
                        self.hang_up(key);
                    }
                }
            }
            (Frame::Report(report), Some(Initiator::Member { name })) if report.name == name => {
                self.report(key, report)
            }
            (Frame::DrainRequest { ask, anyway }, Some(Initiator::Member { name })) => {
                self.asked_out(key, name, ask, anyway)
            }
            (Frame::Request { number, ask }, Some(Initiator::Operator)) => self.asked(key, number, ask),
            _ => {
                tracing::warn!("a connection is closed: a frame that is not its to send");
                self.hang_up(key);
            }
        }
    }

    pub(super) fn greet(&mut self, key: Key, who: Initiator, speaks: u16, dialed: Option<u16>) {
        if let Some(place) = dialed {
            self.greetings.entry(place).or_default().on_accepted();
        } else {
            if let Initiator::Replica(id) = &who {
                // Danger: what an earlier process of this place left in a connection comes too late to be its word.
                let earlier = self.peers.iter().filter(|(_, peer)| {
                    peer.dialed.is_none()
                        && matches!(&peer.who, Some(Initiator::Replica(other)) if other.replica_id == id.replica_id)
                });
                for earlier in earlier.map(|(key, _)| key).collect::<Vec<_>>() {
                    self.hang_up(earlier);
                }
                // Danger: one that was replaced by an older version would count as one of this version by what its earlier
                // process said; and one that was taken for an older one by mistake would stay so.
                let other = self.dials.get(&id.replica_id).and_then(|(_, key, _)| *key);
                let differs = |peer: &&Peer| peer.who.is_some() && peer.speaks != speaks;
                if let Some(other) = other.filter(|other| self.peers.get(*other).filter(differs).is_some()) {
                    self.hang_up(other);
                }
            }
            let hello = Frame::hello_as(speaks, &self.configuration.fleet, Initiator::Replica(self.id()));
            self.send(key, &hello);
        }
        if let Some(peer) = self.peers.get_mut(key) {
            (peer.who, peer.speaks) = (Some(who), speaks);
        }
    }
}
