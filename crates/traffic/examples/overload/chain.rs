//! Measures retry amplification over chains of services.

use std::time::Duration;

use radishgauge_traffic::CallTree;
use radishgauge_traffic::CallVerdict;
use radishgauge_traffic::RetryBudget;
use radishgauge_traffic::RetryDecision;
use radishgauge_traffic::retry::CallCost;
use radishgauge_traffic::retry::FailedCall;
use radishgauge_traffic::tree::CallKey;
use rand::Rng;
use rand_pcg::Pcg64;

const BLIND_RETRIES: u32 = 3;

/// The number of requests in a run with the mesh. The baseline uses fewer,
/// because it makes up to a million calls for each request.
const REQUESTS: u64 = 20_000;

struct Chain {
    depth: usize,
    failure: f64,
    random: Pcg64,
    budgets: Vec<RetryBudget>,
    trees: Vec<CallTree>,
    costs: Vec<CallCost>,
    first: u64,
    calls: u64,
}

/// Prints the number of calls for each first attempt when the last service
/// fails always, or sometimes. For the baseline, first attempts are the calls
/// that the same chain would make without retries.
pub fn depth(seed: u64) {
    println!("handling depth failure calls/first ok%");
    for failure in [1.0, 0.2, 0.01] {
        for depth in [1, 3, 10] {
            let mut chain = Chain::new(depth, failure, seed);
            let requests = if failure == 1.0 { 20 } else { 2000 };
            let good = (0..requests).filter(|_| chain.naive(0)).count();
            print(&chain, "naive", good, requests, requests * depth as u64);
            let mut chain = Chain::new(depth, failure, seed);
            let good = (0..REQUESTS).filter(|_| chain.mesh(0, None, None)).count();
            let first = chain.first;
            print(&chain, "mesh", good, REQUESTS, first);
        }
    }
}

fn print(chain: &Chain, name: &str, good: usize, requests: u64, first: u64) {
    println!(
        "{name} {} {} {:.3} {:.2}",
        chain.depth,
        chain.failure,
        chain.calls as f64 / first as f64,
        good as f64 * 100.0 / requests as f64,
    );
}

impl Chain {
    fn new(depth: usize, failure: f64, seed: u64) -> Chain {
        Chain {
            depth,
            failure,
            random: Pcg64::new(u128::from(seed), 3),
            budgets: (0..depth).map(|_| RetryBudget::new(10)).collect(),
            trees: (0..=depth as u64)
                .map(|hop| CallTree::new(seed + hop))
                .collect(),
            costs: (0..depth).map(|_| CallCost::default()).collect(),
            first: 0,
            calls: 0,
        }
    }

    fn naive(&mut self, hop: usize) -> bool {
        (0..=BLIND_RETRIES).any(|_| {
            self.calls += 1;
            if hop + 1 < self.depth {
                self.naive(hop + 1)
            } else {
                !self.random.random_bool(self.failure)
            }
        })
    }

    fn mesh(
        &mut self,
        hop: usize,
        parent: Option<CallKey>,
        inherited_allowance: Option<u32>,
    ) -> bool {
        let estimate = self.costs[hop].estimate();
        let grant = self.trees[hop].begin_child(parent, inherited_allowance.is_some(), estimate);
        let Ok(grant) = grant else { return false };
        if inherited_allowance.is_none() {
            self.first += 1;
            self.budgets[hop].deposit();
        }
        let (mut good, mut made) = self.attempt(hop, grant.allowance());
        for retries in 0.. {
            let failed = FailedCall {
                verdict: CallVerdict::NotRun,
                reason: None,
                repeatable: true,
                in_retry: inherited_allowance.is_some(),
                retries,
                remaining: Duration::from_secs(1),
                expected: Duration::from_millis(1),
                cost: self.costs[hop].estimate(),
            };
            if good {
                break;
            }
            let seed = self.random.random();
            let RetryDecision::Retry { allowance, .. } = self.budgets[hop].decide(&failed, seed)
            else {
                break;
            };
            let (retried, calls) = self.attempt(hop, Some(allowance));
            self.budgets[hop].refund(allowance - calls);
            good = retried;
            made += calls;
        }
        self.trees[hop].end_child(grant, Some(made));
        good
    }

    fn attempt(&mut self, hop: usize, allowance: Option<u32>) -> (bool, u32) {
        self.calls += 1;
        let key = self.trees[hop + 1].begin(allowance);
        let good = if hop + 1 < self.depth {
            self.mesh(hop + 1, Some(key), allowance)
        } else {
            !self.random.random_bool(self.failure)
        };
        let calls = self.trees[hop + 1].end(key);
        if good {
            self.costs[hop].record(calls);
        }
        (good, calls)
    }
}
