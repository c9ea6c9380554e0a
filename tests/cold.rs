//! What instances that cannot report to each other send to a started endpoint while it is cold.

use std::collections::VecDeque;

use appledyke::balancer::Balancer;
use appledyke::ids::Places;
use appledyke::terms::Terms;
use appledyke::units::{Moment, Span};
use appledyke::{Decision, EndpointState, Entry, Outcome, RequestInfo};

/// When the cold endpoint starts. It takes 7 s to warm up, from two fifths of its capacity.
const STARTED: u64 = 9000;

fn at(ms: u64) -> Moment {
    Moment::default() + Span::from_millis(ms)
}

/// One instance that sends to some endpoints, each of which answers after 20 ms.
struct Instance {
    balancer: Balancer,
    endpoints: usize,
    /// The index of the first cold endpoint.
    first_cold: usize,
    in_flight: VecDeque<(Moment, usize)>,
    requests: usize,
    /// Sends by endpoint since the start.
    sent: Vec<usize>,
    rejected: usize,
}

impl Instance {
    fn new(seed: u64, instances: usize, warm: usize, cold: usize) -> Instance {
        let plain = "tickNs=1000000 discovery=automatic ceilings.cancel=true ceilings.retryAfter=false \
            ceilings.mostWriteOuts=3 rules.startCapacity=0.4 rules.coldNs=7000000000 rules.overloadForNs=1500000000 \
            methods.count=1 methods.0.effect=retryable methods.0.group=all methods.0.windowNs=2000000000 \
            methods.0.name=read methods.0.latencyBudgetNs=1000000000 methods.0.deadlineNs=5000000000 \
            methods.0.overdueCriticality=0.5 methods.0.criticality=1";
        let instances = instances.to_string();
        let plain = plain.split_whitespace().filter_map(|pair| pair.split_once('='));
        let terms = Terms::decode(plain.chain([("nInstances", instances.as_str())]), &mut Places::default());
        let balancer = Balancer::new(at(0), terms.expect("readable terms"), seed);
        let (endpoints, first_cold, sent) = (warm + cold, warm, vec![0; warm + cold]);
        let in_flight = VecDeque::new();
        let mut instance =
            Instance { balancer, endpoints, first_cold, in_flight, requests: 0, sent, rejected: 0 };
        instance.pass_list(0);
        instance
    }

    /// Passes the list. Before `STARTED`, the endpoints that will be cold are listed as warm if there are no others,
    /// and else not at all.
    fn pass_list(&mut self, ms: u64) {
        self.balancer.list_begin(true);
        for endpoint in 0..self.endpoints {
            let started = (endpoint >= self.first_cold && ms >= STARTED).then(|| at(STARTED));
            if endpoint < self.first_cold || started.is_some() || self.first_cold == 0 {
                let entry = Entry {
                    state: EndpointState::Ready,
                    started,
                    name_hash: endpoint as u32,
                    ..Entry::default()
                };
                self.balancer.list_entry(at(ms), endpoint, entry);
            }
        }
        self.balancer.list_end(at(ms));
        self.pull(at(ms));
    }

    fn pull(&mut self, now: Moment) {
        while let Some(decision) = self.balancer.next_decision(now) {
            match decision {
                Decision::Send { request, endpoint, .. } => {
                    self.sent[endpoint] += usize::from(now >= at(STARTED));
                    self.in_flight.push_back((now + Span::from_millis(20), request));
                }
                Decision::Reject { .. } | Decision::Fail { .. } => {
                    self.rejected += usize::from(now >= at(STARTED));
                }
                _ => {}
            }
        }
    }

    /// Reports the answers up to this time, then the arrival of so many requests.
    fn arrive(&mut self, ms: u64, requests: usize) {
        while self.in_flight.front().is_some_and(|(due, _)| *due <= at(ms))
            && let Some((due, request)) = self.in_flight.pop_front()
        {
            self.balancer.outcome(due, request, 0, Outcome::Success, true);
            self.pull(due);
        }
        self.balancer.wake(at(ms));
        self.pull(at(ms));
        for _ in 0..requests {
            self.balancer.arrival(
                at(ms),
                self.requests,
                RequestInfo { left: Span::from_millis(3000), ..RequestInfo::default() },
            );
            self.requests += 1;
            self.pull(at(ms));
        }
    }

    fn sent_to_cold(&self) -> usize {
        self.sent[self.first_cold..].iter().sum()
    }
}

/// Danger: idle instances each kept credit for one send to a cold endpoint, and took the first requests of a burst
/// for the settled rate. At one moment the endpoint got about as many requests as there were instances (276 of 300).
#[test]
fn idle_instances_send_a_cold_endpoint_at_one_moment_their_part_of_a_window() {
    // Each instance gets a request in two windows, of which the cold endpoint gets its share of the capacity; the
    // credit is half as much again.
    let (instances, share) = (300_u32, 0.4 + 0.6 * 3.0 / 7.0);
    let part = f64::from(instances) * 0.5 * share / (3.0 + share) * 1.5;
    for requests in [10, 40, 1] {
        let sent: usize = (0..instances)
            .map(|number| {
                let mut instance = Instance::new(u64::from(number), 30, 3, 1);
                (0..3).for_each(|turn| instance.arrive(3000 * turn + 5 * u64::from(number), 1));
                instance.pass_list(STARTED);
                (0..requests).for_each(|turn| instance.arrive(STARTED + 3000 + turn * 50 / requests, 1));
                instance.sent_to_cold()
            })
            .sum();
        assert!(
            (sent as f64) < part + 2.0 * part.sqrt() + 2.0,
            "{requests}: {sent}, where {part} is their part"
        );
        assert!(sent >= 10, "{requests}: {sent}, and none saves up");
    }
}

/// Danger: credit that lasts for one window is lost if no request is drawn for the endpoint within it, so many
/// instances with few requests each would leave a cold endpoint idle (its share with saved credit: 0.41, 0.57 and
/// 0.48).
#[test]
fn in_steady_traffic_a_cold_endpoint_gets_about_its_share_of_a_warm_one() {
    for (warm, every) in [(3, 300), (20, 300), (20, 1000)] {
        let (mut to_cold, mut to_warm) = (0, 0);
        for seed in 0..60 {
            let mut instance = Instance::new(seed, 60, warm, 1);
            let mut listed = false;
            for turn in 0..(STARTED + 7000) / every {
                let ms = every * turn + seed * 17 % every;
                if ms >= STARTED && !std::mem::replace(&mut listed, true) {
                    instance.pass_list(STARTED);
                }
                instance.arrive(ms, 1);
            }
            to_cold += instance.sent_to_cold();
            to_warm += instance.sent[..warm].iter().sum::<usize>();
        }
        let share = to_cold as f64 / (to_warm as f64 / warm as f64 * 0.7);
        assert!((0.6..1.5).contains(&share), "{warm} warm, a request in {every} ms: {share} of its share");
    }
}

/// Danger: credit that is drawn a window ahead would fall short of the traffic, and a burst after a release of all
/// endpoints would be rejected. So each idle instance may send one request to each endpoint, and more as the traffic
/// grows.
#[test]
fn if_all_endpoints_are_cold_a_burst_is_sent_as_it_grows() {
    let burst = |seed| {
        let mut instance = Instance::new(seed, 30, 0, 3);
        (0..3).for_each(|turn| instance.arrive(3000 * turn + 10 * seed, 1));
        instance.pass_list(STARTED);
        (0..40).for_each(|turn| instance.arrive(STARTED + 3000 + 20 * turn, usize::from(turn < 30)));
        instance.sent_to_cold()
    };
    assert!((0..60).map(burst).sum::<usize>() >= 150);
}
