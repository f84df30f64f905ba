//! Unit tests of the federation's decisions and encodings; whole members are tested in `sim::federation` and
//! `tests/federation`.

use super::backoff::Backoff;
use super::hello::{Challenge, Hello, Key, Welcome};
use super::membership::{next_step, MembershipStep, Progress};
use super::records::{EntryKind, EntryRecord, HardState, MessageKind, MessageRecord, SnapshotRecord};
use super::settings::FederationSettings;
use super::state::{Change, Command, Roster, State, WantedMember};
use super::store::Owner;
use super::wire::{decode, encode, Frame, WireError, MAX_HANDSHAKE_BYTES, MAX_MESSAGE_BYTES};
use super::{LogIndex, MemberId, Term};
use crate::config::hcl_document::HclDocument;
use crate::interface::Span;
use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn roster(members: &[(u64, bool)]) -> Roster {
    let member = |(id, voter): &(u64, bool)| {
        (MemberId(*id), WantedMember { site: format!("site-{id}"), voter: *voter })
    };
    members.iter().map(member).collect()
}

pub(super) fn state(members: &[(u64, bool)]) -> State {
    State::founded(7, 1, &roster(members))
}

pub(super) fn entry(index: u64, term: u64) -> EntryRecord {
    EntryRecord {
        kind: EntryKind::Normal,
        term: Term(term),
        index: LogIndex(index),
        data: vec![index as u8; 3],
        context: Vec::new(),
    }
}

fn append(index: u64, entries: Vec<EntryRecord>) -> MessageRecord {
    MessageRecord {
        kind: MessageKind::Append,
        to: MemberId(2),
        from: MemberId(1),
        term: Term(3),
        log_term: Term(1),
        index: LogIndex(index),
        entries,
        commit: LogIndex(0),
        commit_term: Term(0),
        snapshot: None,
        request_snapshot: LogIndex(0),
        reject: false,
        reject_hint: LogIndex(0),
        context: Vec::new(),
        priority: 0,
    }
}

#[test]
fn next_step_moves_members_towards_the_file() {
    let here = [(1, true), (2, true), (3, true), (4, false)];
    let all = |lag: u64, active: bool| move |id: &u64| (MemberId(*id), Progress { lag, active });
    // The members in the file, the lag and the ids of the active members besides leader 1, and the expected
    // step.
    let change = MembershipStep::Change;
    type Case<'a> = (&'a [(u64, bool)], u64, &'a [u64], MembershipStep);
    let cases: Vec<Case> = vec![
        (&here, 0, &[2, 3, 4], MembershipStep::Command(Command::RevisionApplied { revision: 2 })),
        (
            &[(1, true), (2, true), (3, true), (4, false), (5, true)],
            0,
            &[2, 3],
            change(Change::Add { id: MemberId(5), site: "site-5".into() }),
        ),
        (&[(1, true), (2, true), (3, true), (4, true)], 3, &[2, 3, 4], change(Change::Promote(MemberId(4)))),
        (&[(1, true), (2, true), (3, true), (4, true)], 99, &[2, 3, 4], MembershipStep::Wait), // 4 lags too far
        (&[(1, true), (2, true), (3, true), (4, true)], 0, &[2, 3], MembershipStep::Wait), // 4 is inactive
        (&[(1, true), (2, true), (4, false)], 0, &[2, 3, 4], change(Change::Remove(MemberId(3)))),
        (&[(1, true), (2, true), (4, false)], 0, &[2], change(Change::Remove(MemberId(3)))), // 3 is inactive
        (&[(1, true), (2, true), (4, false)], 0, &[3], MembershipStep::Wait), // no quorum without 3
        (&[(1, true), (2, false), (3, true), (4, false)], 0, &[2, 3], change(Change::Demote(MemberId(2)))),
        (&[(2, true), (3, true), (4, false)], 0, &[2, 3], MembershipStep::TransferLeadership),
        (&[(1, true), (2, true), (3, true)], 0, &[2, 3], change(Change::Remove(MemberId(4)))),
    ];
    for (file, lag, active, wanted) in cases {
        let file = roster(file);
        let progress = active.iter().map(all(lag, true)).collect();
        let at = |begun| State { started_revision: begun, ..state(&here) };
        assert_eq!(next_step(&at(2), 2, &file, MemberId(1), &progress), wanted, "{file:?} {lag} {active:?}");
        let first = MembershipStep::Command(Command::RevisionStarted { revision: 2 });
        assert_eq!(
            next_step(&at(1), 2, &file, MemberId(1), &progress),
            first,
            "the revision is recorded first"
        );
        assert_eq!(
            next_step(&at(3), 2, &file, MemberId(1), &progress),
            MembershipStep::Wait,
            "a change to a newer file is started"
        );
        assert_eq!(
            next_step(&state(&here), 1, &file, MemberId(1), &progress),
            MembershipStep::Wait,
            "an old file has no effect"
        );
    }
}

#[test]
fn state_rejects_invalid_changes_and_keeps_a_voter() {
    let mut one = state(&[(1, true), (2, false)]);
    for change in [
        Change::Remove(MemberId(1)),
        Change::Demote(MemberId(1)),
        Change::Promote(MemberId(1)),
        Change::Remove(MemberId(9)),
        Change::Promote(MemberId(9)),
    ] {
        assert!(!one.allows(&change), "{change:?}");
    }
    assert!(
        !one.allows(&Change::Add { id: MemberId(2), site: String::new() })
            && one.allows(&Change::Promote(MemberId(2)))
    );
    one.apply_change(&Change::Promote(MemberId(2)));
    assert!(one.allows(&Change::Remove(MemberId(1))));
    one.apply(&Command::Enrol { id: MemberId(1), incarnation: 11 });
    one.apply(&Command::Enrol { id: MemberId(1), incarnation: 12 });
    assert_eq!(
        (one.check_admission(MemberId(1), 11, false), one.check_admission(MemberId(1), 12, true).is_err()),
        (Ok(()), true),
        "only the first store is enrolled"
    );
    assert!(
        one.check_admission(MemberId(9), 1, false).is_err()
            && one.check_admission(MemberId(9), 1, true).is_ok()
    );
    assert!(
        State::default().check_admission(MemberId(9), 1, false).is_ok(),
        "a member without any state admits every member that holds the key"
    );
    one.apply(&Command::RevisionApplied { revision: 5 });
    one.apply(&Command::RevisionApplied { revision: 4 });
    assert_eq!(one.revision, 5);
}

#[test]
fn message_check_rejects_protocol_violations() {
    assert_eq!(append(4, vec![entry(5, 1), entry(6, 3)]).check(), Ok(()));
    let snapshot = SnapshotRecord {
        index: LogIndex(9),
        term: Term(2),
        voters: vec![MemberId(1)],
        ..SnapshotRecord::default()
    };
    let bad = [
        append(4, vec![entry(6, 1)]),
        append(4, vec![entry(5, 2), entry(6, 1)]),
        append(4, vec![entry(5, 4)]),
        append(u64::MAX, vec![]),
        MessageRecord { term: Term(0), ..append(4, vec![]) },
        MessageRecord { kind: MessageKind::Heartbeat, ..append(4, vec![entry(5, 1)]) },
        MessageRecord { kind: MessageKind::Snapshot, ..append(4, vec![]) },
        MessageRecord { snapshot: Some(snapshot.clone()), ..append(4, vec![]) },
    ];
    for message in bad {
        assert!(message.check().is_err(), "{message:?}");
    }
    let snapshot_message =
        MessageRecord { kind: MessageKind::Snapshot, snapshot: Some(snapshot), ..append(4, vec![]) };
    for message in [
        snapshot_message,
        append(
            4,
            vec![entry(5, 1), EntryRecord { kind: EntryKind::Change, context: vec![7], ..entry(6, 3) }],
        ),
    ] {
        assert_eq!(
            MessageRecord::from_raft(&message.to_raft()).as_ref(),
            Some(&message),
            "the conversion to the raft crate and back is lossless"
        );
    }
}

#[test]
fn proofs_bind_a_connection_and_tags_bind_the_order() {
    let (key, other) = (Key::new(vec![1; 16]), Key::new(vec![2; 16]));
    let challenge = Challenge { nonce: [3; 16] };
    let plain = Hello {
        cluster: "c".into(),
        identity: 7,
        from: MemberId(1),
        to: MemberId(2),
        incarnation: 5,
        nonce: [4; 16],
        proof: [0; 32],
    };
    let hello = key.sign_hello(&challenge, plain.clone());
    assert!(key.verify_hello(&challenge, &hello) && !other.verify_hello(&challenge, &hello));
    for changed in [
        Hello { from: MemberId(3), ..hello.clone() },
        Hello { to: MemberId(3), ..hello.clone() },
        Hello { incarnation: 6, ..hello.clone() },
        Hello { identity: 8, ..hello.clone() },
        Hello { cluster: "d".into(), ..hello.clone() },
    ] {
        assert!(!key.verify_hello(&challenge, &changed), "{changed:?}");
    }
    assert!(
        !key.verify_hello(&Challenge { nonce: [9; 16] }, &hello),
        "the hello belongs to another connection"
    );
    let welcome = key.sign_welcome(&challenge, &hello);
    assert!(key.verify_welcome(&challenge, &hello, &welcome));
    assert!(!key.verify_welcome(&challenge, &hello, &Welcome { proof: hello.proof }));
    let (mut out, mut seen) = (
        key.message_authenticator(&challenge, &hello, true),
        key.message_authenticator(&challenge, &hello, true),
    );
    let first = encode(&Frame::Ping, Some(&mut out)).expect("within the maximum length");
    let second = encode(&Frame::Propose(Command::RevisionApplied { revision: 3 }), Some(&mut out))
        .expect("within the maximum length");
    let mut input = BytesMut::from(&[&first[..], &second[..]].concat()[..]);
    assert_eq!(decode(&mut input, Some(&mut seen)), Ok(Some(Frame::Ping)));
    assert_eq!(
        decode(&mut input, Some(&mut seen)),
        Ok(Some(Frame::Propose(Command::RevisionApplied { revision: 3 })))
    );
    for (bytes, way) in [(&first, true), (&second, true), (&first, false)] {
        let mut authenticator = key.message_authenticator(&challenge, &hello, way);
        if way {
            // The frame is repeated, or out of order.
            authenticator.tag(b"");
            authenticator.tag(b"");
        }
        assert_eq!(
            decode::<Frame>(&mut BytesMut::from(&bytes[..]), Some(&mut authenticator)),
            Err(WireError::Malformed)
        );
    }
}

/// Stores and members of older versions contain and send these bytes, so the encodings must not change.
#[test]
fn record_encodings_are_stable() {
    let change = EntryRecord {
        kind: EntryKind::Change,
        term: Term(3),
        index: LogIndex(5),
        data: vec![9],
        context: vec![8, 7],
    };
    let message = MessageRecord {
        commit: LogIndex(300),
        commit_term: Term(1),
        reject_hint: LogIndex(6),
        priority: -1,
        ..append(4, vec![change])
    };
    let hard = HardState { term: Term(3), vote: MemberId(2), commit: LogIndex(300) };
    let snapshot = SnapshotRecord {
        index: LogIndex(300),
        term: Term(2),
        voters: [1, 2].map(MemberId).to_vec(),
        learners: vec![MemberId(3)],
        data: vec![5],
    };
    let mut held =
        State::founded(7, 1, &[(MemberId(1), WantedMember { site: "a".to_owned(), voter: true })].into());
    held.apply(&Command::Enrol { id: MemberId(1), incarnation: 9 });
    held.apply(&Command::Acquire { duty: "d".into(), id: MemberId(1), request: 5 });
    let bytes = |record: Result<Vec<u8>, postcard::Error>| record.expect("the record can be encoded");
    for (encoded, wanted) in [
        (
            bytes(postcard::to_stdvec(&message)),
            &[0, 2, 1, 3, 1, 4, 1, 1, 3, 5, 1, 9, 2, 8, 7, 0xAC, 2, 1, 0, 0, 0, 6, 0, 1][..],
        ),
        (bytes(postcard::to_stdvec(&hard)), &[3, 2, 0xAC, 2]),
        (bytes(postcard::to_stdvec(&snapshot)), &[0xAC, 2, 2, 2, 1, 2, 1, 3, 1, 5]),
        (bytes(postcard::to_stdvec(&Owner::new("c", MemberId(2), 7))), &[1, 1, b'c', 2, 7]),
        (bytes(postcard::to_stdvec(&held)), &[7, 1, 0, 1, 1, 1, b'a', 1, 1, 9, 1, 1, b'd', 1, 1, 5, 1]),
        (
            bytes(postcard::to_stdvec(&Command::Acquire { duty: "d".into(), id: MemberId(2), request: 7 })),
            &[3, 1, b'd', 2, 7],
        ),
    ] {
        assert_eq!(encoded, wanted);
    }
}

#[test]
fn decode_waits_for_whole_frames_and_rejects_bad_ones() {
    let hello = Challenge { nonce: [5; 16] };
    let bytes = encode(&hello, None).expect("within the maximum length");
    let mut input = BytesMut::new();
    for byte in &bytes[..bytes.len() - 1] {
        input.extend_from_slice(&[*byte]);
        assert_eq!(decode::<Challenge>(&mut input, None), Ok(None));
    }
    input.extend_from_slice(&bytes[bytes.len() - 1..]);
    assert_eq!(decode(&mut input, None), Ok(Some(hello)));
    assert!(input.is_empty());
    let long = (MAX_HANDSHAKE_BYTES as u32 + 1).to_be_bytes();
    for (bytes, wanted) in [
        (&[2][..], WireError::Version(2)),
        (&[&[1][..], &long].concat()[..], WireError::Oversize { max: MAX_HANDSHAKE_BYTES }),
        (&[1, 0, 0, 0, 1, 7], WireError::Malformed),
        (&[&[1, 0, 0, 0, 17][..], &[0; 17]].concat()[..], WireError::Malformed), // one byte too many
    ] {
        assert_eq!(decode::<Challenge>(&mut BytesMut::from(bytes), None), Err(wanted), "{bytes:?}");
    }
    assert_eq!(
        encode(&vec![0u8; MAX_MESSAGE_BYTES + 1], None),
        None,
        "a message that is too long is not encoded"
    );
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut bytes = vec![0; random.random_range(0..64)];
        random.fill(&mut bytes[..]);
        if bytes.len() > 5 {
            let length = bytes.len() as u8 - 5;
            bytes[..5].copy_from_slice(&[1, 0, 0, 0, length]);
        }
        let _ = decode::<Hello>(&mut BytesMut::from(&bytes[..]), None); // must return, whatever the bytes are
        let _ = postcard::from_bytes::<Frame>(&bytes);
    }
}

#[test]
fn file_errors_have_positions_and_deployed_file_has_defaults() {
    let deployed = include_str!("../../deploy/federation.hcl");
    let read = |text: &str| {
        FederationSettings::parse(HclDocument { file: "f.hcl", text }).map_err(|error| error.to_string())
    };
    let without_defaults: String = deployed
        .lines()
        .filter(|line| {
            !["tick", "election", "heartbeat", "compact", "silent", "lease", "guard", "drift"]
                .iter()
                .any(|key| line.trim().starts_with(key))
        })
        .map(|line| format!("{line}\n"))
        .collect();
    let (deployed, key) = read(deployed).expect("the settings are valid");
    let (defaults, _) = read(&without_defaults).expect("the settings are valid");
    assert_eq!(
        (deployed.tuning, deployed.lease_timing, deployed.tick, deployed.silence_timeout),
        (defaults.tuning, defaults.lease_timing, defaults.tick, defaults.silence_timeout)
    );
    assert_eq!(
        (key.as_str(), deployed.members.len(), deployed.first_fixed_change(&defaults)),
        ("keys/federation.secret", 3, None)
    );
    assert_eq!(deployed.listen, deployed.members[&MemberId(1)].address);
    assert_ne!(
        deployed.founding_state().identity,
        FederationSettings { cluster: "x".into(), ..deployed.clone() }.founding_state().identity
    );
    for (from, to, wanted) in [
        ("id       = 1", "id = 9", "f.hcl:6:8: there is no member 9"),
        ("member \"2\"", "member \"1\"", "member 1 is defined twice"),
        ("7402", "7401", "member 1 has the same address"),
        ("heartbeat_ticks = 2", "", "no key"),
        ("voter   = true", "voter   = false", "0 voters are listed; there must be 1 to 7"),
        (
            "address = \"127.0.0.1:7403\"",
            "address = \"here\"",
            "\"here\" is not an address such as 10.0.1.5:7400",
        ),
        ("revision = 1 ", "revison = 1 ", "federation has no revision"),
    ] {
        let text = if wanted == "no key" {
            without_defaults.replace("cluster ", "tick_ns = 5\n cluster ")
        } else {
            without_defaults.replace(from, to)
        };
        let error = read(&text).expect_err(wanted);
        assert!(error.contains(wanted), "{error} instead of {wanted}");
    }
}

#[test]
fn backoff_pauses_double_and_are_half_random() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut backoff = Backoff::new(Span::from_micros(20), Span::from_micros(1000));
    for most in [20, 40, 80, 160, 320, 640, 1000, 1000].map(Span::from_micros) {
        let pause = backoff.next_pause(&mut random);
        assert!((most / 2..=most).contains(&pause), "{pause:?} of {most:?}");
    }
    backoff.reset();
    assert!(backoff.next_pause(&mut random) <= Span::from_micros(20));
}
