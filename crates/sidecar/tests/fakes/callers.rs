//! Callers of a service that handles one call at a time, in virtual time: the call schedule alone.

// Each test binary uses only some of these.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use appledyke::units::{Moment, Span};
use appledyke_sidecar::net::discovery::schedule::{CALL_TIMEOUT, CallEnd, Callers, Schedule};

/// Longest time that a call waits in the queue.
const WAIT_MOST: Span = Span::from_millis(3000);
/// How long a call hangs before it is refused while the service is down.
const DOWN_HANG: Span = Span::from_millis(2000);

/// The service's capacity.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time spent on each call, even if its caller has disconnected.
    pub call_time: Span,
    /// Queue length; one more call is refused at once.
    pub queue_most: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A configuration names another address.
    Move(usize),
    /// The service goes down: a caller's watch ends.
    Break(usize),
    /// A caller makes its next call, unless it was rescheduled.
    Due(usize, u64),
    /// The service has finished its current call.
    Worked,
    /// A call has waited, or hung, until it is refused.
    Refused(u64),
    /// A call is not answered in time, and is given up.
    GiveUp(usize, u64, Moment),
}

struct Call {
    id: u64,
    caller: usize,
    since: Moment,
}

pub struct Caller {
    pub schedule: Schedule,
    /// The current call, and the number of the last scheduled event.
    call: Option<u64>,
    due: u64,
    pub heard: Option<Moment>,
    /// When its calls failed, and how.
    pub failures: Vec<(Moment, CallEnd)>,
    pub moved: Moment,
}

/// One service and its callers.
pub struct World {
    pub now: Moment,
    pub capacity: Capacity,
    pub down_at: Moment,
    pub back_at: Moment,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    pub callers: Vec<Caller>,
    queue: VecDeque<Call>,
    working: Option<Call>,
    hanging: Vec<Call>,
    pub made: u64,
}

impl World {
    pub fn new(callers: usize, instances: f64, capacity: Capacity, back_at: Moment, seed: u64) -> World {
        let caller = |number: usize| Caller {
            schedule: Schedule::new(Callers { pushed: false, instances }, seed * 1000 + number as u64),
            call: None,
            due: 0,
            heard: None,
            failures: Vec::new(),
            moved: Moment::default(),
        };
        World {
            now: Moment::default(),
            capacity,
            down_at: Moment::default(),
            back_at,
            events: BinaryHeap::new(),
            callers: (0..callers).map(caller).collect(),
            queue: VecDeque::new(),
            working: None,
            hanging: Vec::new(),
            made: 0,
        }
    }

    pub fn at(&mut self, at: Moment, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Schedules a caller's next call.
    pub fn put_off(&mut self, caller: usize, until: Moment) {
        self.callers[caller].due += 1;
        let due = Event::Due(caller, self.callers[caller].due);
        self.at(until, due);
    }

    pub fn run(&mut self, until: Moment) {
        while self.events.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            let Some(Reverse((at, event))) = self.events.pop() else { return };
            self.now = at;
            match event {
                Event::Move(caller) => {
                    let next = self.callers[caller].schedule.address_changed(at);
                    (self.callers[caller].moved, self.callers[caller].heard) = (at, None);
                    self.callers[caller].call = None;
                    self.put_off(caller, next);
                }
                Event::Break(caller) => self.watch_breaks(caller),
                Event::Due(caller, number) if self.callers[caller].due == number => self.call(caller),
                Event::Due(..) => {}
                Event::Worked => self.worked(),
                Event::Refused(id) => self.refuse(id),
                Event::GiveUp(caller, id, since) => self.end(caller, id, since, CallEnd::Lost),
            }
        }
    }

    /// Ends a caller's watch if it has one.
    fn watch_breaks(&mut self, caller: usize) {
        if self.callers[caller].heard.take().is_some() {
            let next = self.callers[caller].schedule.call_failed(self.now, self.now, CallEnd::Lost);
            self.put_off(caller, next);
        }
    }

    fn call(&mut self, caller: usize) {
        self.made += 1;
        let call = Call { id: self.made, caller, since: self.now };
        self.callers[caller].schedule.call_started();
        self.callers[caller].call = Some(call.id);
        let id = call.id;
        self.at(self.now + CALL_TIMEOUT, Event::GiveUp(caller, id, self.now));
        if self.down_at <= self.now && self.now < self.back_at {
            self.hanging.push(call);
            self.at(self.now + DOWN_HANG, Event::Refused(id));
        } else if self.queue.len() >= self.capacity.queue_most {
            self.failed(call);
        } else {
            self.queue.push_back(call);
            self.at(self.now + WAIT_MOST, Event::Refused(id));
            self.work();
        }
    }

    /// The service starts its next call if it is idle.
    fn work(&mut self) {
        if self.working.is_none() {
            self.working = self.queue.pop_front();
            if self.working.is_some() {
                self.at(self.now + self.capacity.call_time, Event::Worked);
            }
        }
    }

    fn worked(&mut self) {
        let call = self.working.take().expect("it worked on a call");
        let caller = &mut self.callers[call.caller];
        if caller.call == Some(call.id) {
            caller.call = None;
            caller.schedule.list_received();
            caller.heard.get_or_insert(self.now);
        }
        self.work();
    }

    fn refuse(&mut self, id: u64) {
        let waiting = self.queue.iter().position(|call| call.id == id);
        let call = waiting.and_then(|at| self.queue.remove(at));
        let hanging = self.hanging.iter().position(|call| call.id == id);
        let call = call.or(hanging.map(|at| self.hanging.swap_remove(at)));
        if let Some(call) = call {
            self.failed(call);
        }
    }

    /// Handles a rejected call.
    fn failed(&mut self, call: Call) {
        self.end(call.caller, call.id, call.since, CallEnd::Rejected);
    }

    /// Handles the end of a call; its caller may have given it up before.
    fn end(&mut self, caller: usize, id: u64, since: Moment, end: CallEnd) {
        if self.callers[caller].call == Some(id) {
            self.callers[caller].call = None;
            self.callers[caller].failures.push((self.now, end));
            let next = self.callers[caller].schedule.call_failed(since, self.now, end);
            self.put_off(caller, next);
        }
    }

    /// The longest time from the given moment of each caller until it got a list; `None` if one has not.
    pub fn latest(&self, from: impl Fn(&Caller) -> Moment) -> Option<Span> {
        let heard = self.callers.iter().map(|caller| Some(caller.heard?.since(from(caller))));
        heard.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}
