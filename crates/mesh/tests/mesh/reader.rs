use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use radishgauge_mesh::reader::MAX_READERS;
use radishgauge_mesh::reader::ReaderRanking;
use radishgauge_mesh::reader::ReaderRole;

fn hosts(count: u8) -> Vec<IpAddr> {
    let host = |last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    (0..count).map(host).collect()
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn readers(rankings: &[ReaderRanking], hosts: &[IpAddr], now: Duration) -> Vec<IpAddr> {
    let role = |(host, ranking): (&IpAddr, &ReaderRanking)| {
        let role = ranking.role(*host, "a", hosts, now);
        (role == ReaderRole::Read).then_some(*host)
    };
    hosts.iter().zip(rankings).filter_map(role).collect()
}

/// Guards against a number of calls to the store that grows with the number of
/// hosts, and against hosts that follow different readers.
#[test]
fn one_host_of_domain_reads_store() {
    for count in [1, 2, 13, 200] {
        let hosts = hosts(count);
        let rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
        let readers = readers(&rankings, &hosts, s(0));
        assert_eq!(readers.len(), 1);
        for host in hosts.iter().filter(|host| **host != readers[0]) {
            let role = ReaderRanking::default().role(*host, "a", &hosts, s(0));
            assert_eq!(role, ReaderRole::Follow(readers[0]));
        }
    }
}

/// Guards against a domain without a reader after its reader crashed, and against
/// too many readers after it has recovered.
#[test]
fn next_host_reads_while_first_does_not_answer() {
    let hosts = hosts(10);
    let mut rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
    let first = readers(&rankings, &hosts, s(0))[0];
    for ranking in &mut rankings {
        ranking.mark_unreachable(first, s(0));
    }
    let second = readers(&rankings, &hosts, s(1));
    // The first host does not know that the others cannot reach it.
    assert_eq!(second.iter().filter(|host| **host != first).count(), 1);
    assert_eq!(readers(&rankings, &hosts, s(10)), [first]);
}

/// Guards against a domain that returns to a reader which is still partitioned,
/// and gets no updates while it waits for an answer. A reader is followed again
/// once it has sent something; a silent one is not tried again soon.
#[test]
fn silent_reader_is_followed_again_after_contact() {
    let hosts = hosts(3);
    let mut ranking = ReaderRanking::default();
    let rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
    let first = readers(&rankings, &hosts, s(0))[0];
    let own = *hosts.iter().find(|host| **host != first).unwrap();
    ranking.mark_unreachable(first, s(0));
    let role = ranking.role(own, "a", &hosts, s(5));
    assert_ne!(role, ReaderRole::Follow(first));
    ranking.mark_reachable(first);
    assert_eq!(
        ranking.role(own, "a", &hosts, s(5)),
        ReaderRole::Follow(first)
    );
}

/// Guards against a domain that misses updates because its reader cannot read the
/// store.
#[test]
fn second_host_reads_while_first_cannot() {
    let hosts = hosts(10);
    let mut rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
    let first = readers(&rankings, &hosts, s(0))[0];
    for ranking in &mut rankings {
        ranking.mark_store_report(first, true, s(0));
    }
    let two = readers(&rankings, &hosts, s(1));
    assert_eq!(two.len(), 2);
    let second = *two.iter().find(|host| **host != first).unwrap();
    let third = hosts
        .iter()
        .zip(&rankings)
        .find(|(host, _)| !two.contains(host));
    let (third, ranking) = third.unwrap();
    let role = ranking.role(*third, "a", &hosts, s(1));
    assert_eq!(role, ReaderRole::Follow(second));
}

/// Guards against a domain whose hosts miss the removal of targets, because they
/// follow readers that are cut off from a store which is not down.
#[test]
fn first_host_that_can_read_is_followed_when_several_cannot() {
    let hosts = hosts(40);
    let ranked = ReaderRanking::default().ranked(hosts[0], "a", &hosts, s(0));
    let cut_off = &ranked[..3];
    let reader = ranked[3];
    let mut ranking = ReaderRanking::default();
    for host in cut_off {
        ranking.mark_store_report(*host, true, s(0));
    }
    assert_eq!(ranking.role(reader, "a", &hosts, s(1)), ReaderRole::Read);
    for own in &ranked[4..] {
        let role = ranking.role(*own, "a", &hosts, s(1));
        assert_eq!(role, ReaderRole::Follow(reader));
    }
}

/// Guards against calls from all hosts to a store that is down, however long the
/// outage lasts.
#[test]
fn number_of_readers_is_bounded_while_store_is_down() {
    let hosts = hosts(50);
    let mut rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
    for time in 0..10 {
        let readers = readers(&rankings, &hosts, s(time));
        assert!(readers.len() <= MAX_READERS, "{} read", readers.len());
        for ranking in &mut rankings {
            for host in &readers {
                ranking.mark_store_report(*host, true, s(time));
            }
        }
    }
}

/// Guards against a follower that waits at a host which cannot read the store,
/// while the next one can.
#[test]
fn host_is_asked_without_wait_after_it_reported_an_outage() {
    let hosts = hosts(10);
    let host = hosts[0];
    let mut ranking = ReaderRanking::default();
    assert!(!ranking.is_probed(host, s(0)));
    ranking.mark_store_report(host, true, s(0));
    assert!(!ranking.is_probed(host, s(1)));
    assert!(ranking.is_probed(host, s(2)));
    ranking.mark_store_report(host, false, s(2));
    assert!(!ranking.is_probed(host, s(2)));
}

/// Guards against a domain that asks one unreachable host after the other while a
/// part of its hosts is cut off: the next readers are known in their order.
#[test]
fn next_readers_are_ranked_without_unreachable_hosts() {
    let hosts = hosts(10);
    let mut ranking = ReaderRanking::default();
    let all = ranking.ranked(hosts[0], "a", &hosts, s(0));
    assert_eq!(all.len(), 10);
    let first = all[0];
    ranking.mark_unreachable(first, s(0));
    let own = all[5];
    let ranked = ranking.ranked(own, "a", &hosts, s(1));
    assert_eq!(ranked, all[1..]);
    // A host never excludes itself.
    ranking.mark_unreachable(own, s(1));
    assert!(ranking.ranked(own, "a", &hosts, s(1)).contains(&own));
}

/// Returns the name of a failure domain in which `next` ranks before `own`.
fn domain_read_by(next: IpAddr, own: IpAddr) -> String {
    let is_first = |domain: &String| {
        let ranked = ReaderRanking::default().ranked(own, domain, &[own, next], s(0));
        ranked[0] == next
    };
    let mut domains = (0..).map(|number: u32| number.to_string());
    domains.find(is_first).unwrap()
}

/// Guards against daemons that follow each other in a ring while none reads the store:
/// each of three knows only the next one, as after moves to other domains.
#[test]
fn followed_hosts_read_store() {
    let all = hosts(3);
    let mut rankings: Vec<_> = all.iter().map(|_| ReaderRanking::default()).collect();
    for (index, ranking) in rankings.iter().enumerate() {
        let (own, next) = (all[index], all[(index + 1) % 3]);
        let role = ranking.role(own, &domain_read_by(next, own), &[own, next], s(0));
        assert_eq!(role, ReaderRole::Follow(next));
    }
    for ranking in &mut rankings {
        ranking.mark_followed(s(2));
    }
    let count = |now| readers(&rankings, &all, now).len();
    assert_eq!((count(s(1)), count(s(2))), (3, 1));
}

/// Guards against a host that cannot read the store, and waits there for the changes that
/// the first of its ranking could tell it, as long as somebody follows it.
#[test]
fn followed_host_that_cannot_read_store_follows_again() {
    let hosts = hosts(3);
    let first = readers(&[(); 3].map(|()| ReaderRanking::default()), &hosts, s(0))[0];
    let own = *hosts.iter().find(|host| **host != first).unwrap();
    let mut ranking = ReaderRanking::default();
    ranking.mark_followed(s(2));
    assert_eq!(ranking.role(own, "a", &hosts, s(0)), ReaderRole::Read);
    ranking.forget_followers();
    assert_eq!(
        ranking.role(own, "a", &hosts, s(0)),
        ReaderRole::Follow(first)
    );
}

/// Guards against calls from all hosts to a store that is down, because each of them is
/// followed by others: also while half of the hosts do not reach the other half.
#[test]
fn number_of_readers_is_bounded_while_hosts_follow_each_other() {
    for groups in [1, 2] {
        let hosts = hosts(74);
        let mut rankings: Vec<_> = hosts.iter().map(|_| ReaderRanking::default()).collect();
        for time in 0..10 {
            mark_other_groups(&mut rankings, &hosts, groups, s(time));
            let roles: Vec<ReaderRole> = hosts
                .iter()
                .zip(&rankings)
                .map(|(host, ranking)| ranking.role(*host, "a", &hosts, s(time)))
                .collect();
            let readers = roles.iter().filter(|role| **role == ReaderRole::Read);
            let readers = readers.count();
            assert!(
                (1..=groups * MAX_READERS).contains(&readers),
                "{readers} read"
            );
            for (index, role) in roles.iter().enumerate() {
                let ReaderRole::Follow(followed) = role else {
                    continue;
                };
                rankings[index].mark_store_report(*followed, true, s(time));
                let followed = hosts.iter().position(|host| host == followed).unwrap();
                rankings[followed].mark_followed(s(time + 2));
            }
        }
    }
}

/// Makes the hosts of each group exclude those of the others.
fn mark_other_groups(
    rankings: &mut [ReaderRanking],
    hosts: &[IpAddr],
    groups: usize,
    now: Duration,
) {
    for (index, ranking) in rankings.iter_mut().enumerate() {
        let others = hosts.iter().enumerate();
        for (_, other) in others.filter(|(other, _)| other % groups != index % groups) {
            ranking.mark_unreachable(*other, now);
        }
    }
}
