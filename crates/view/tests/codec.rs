//! Encoding of datagrams: the work is bounded whatever bytes arrive, and different builds understand each other.

use minicbor::Encoder;
use proptest::prelude::*;
use std::net::SocketAddr;
use yarrowfront::times::Timestamp;
use yarrowfront_view::config::ViewConfig;
use yarrowfront_view::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo, Phase};
use yarrowfront_view::view::View;
use yarrowfront_view::wire::{Datagram, DecodeError, Kind, MemberUpdate, MAX_DATAGRAM_BYTES, VERSION};

fn at() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from),
        (any::<[u8; 16]>(), any::<u16>()).prop_map(SocketAddr::from),
    ]
}

fn text() -> impl Strategy<Value = String> {
    "[a-z0-9.-]{1,20}"
}

fn info() -> impl Strategy<Value = NodeInfo> {
    (at(), text(), text(), any::<u64>(), any::<u8>(), any::<u32>(), any::<u32>()).prop_map(
        |(address, site, build, settings_digest, phase, slot, slots)| NodeInfo {
            address,
            site,
            build,
            settings_digest,
            phase: Phase(phase),
            slot,
            slots,
        },
    )
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    (text(), 0..1u64 << 50, 0..1u32 << 30, state, prop::option::of(text()), prop::option::of(info()))
        .prop_map(|(name, generation, incarnation, state, reported_by, info)| {
            let (generation, incarnation) = (Generation(generation), Incarnation(incarnation));
            MemberUpdate {
                name,
                generation,
                incarnation,
                state,
                reported_by,
                info_incarnation: incarnation,
                info,
            }
        })
}

fn datagram() -> impl Strategy<Value = Datagram> {
    let kind = prop_oneof![Just(Kind::Ping), Just(Kind::Ack), Just(Kind::PingReq), Just(Kind::Checksums)];
    let load = (any::<u32>(), any::<u64>()).prop_map(|(in_flight, accepted)| Load {
        in_flight,
        accepted,
        ..Load::default()
    });
    let sums = prop::option::of(prop::collection::vec(any::<u8>(), 0..64));
    let rest = (prop::option::of(load), sums, prop::option::of(prop::collection::vec(update(), 0..5)));
    (kind, any::<u32>(), text(), 0..1u64 << 50, at(), prop::option::of(text()), any::<u64>(), rest).prop_map(
        |(kind, probe_id, sender, generation, address, target, digest, (load, checksums, updates))| {
            Datagram {
                version: VERSION,
                fleet: "f".into(),
                kind,
                probe_id,
                sender,
                generation: Generation(generation),
                incarnation: Incarnation(3),
                address,
                target,
                digest,
                present_count: 9,
                load,
                checksums,
                is_final: None,
                wants_info: Some(true),
                updates,
            }
        },
    )
}

fn view() -> View {
    let listen = "127.0.0.1:7946".parse().expect("an address");
    let info = NodeInfo {
        address: listen,
        site: "s".into(),
        build: "b".into(),
        settings_digest: 0,
        phase: Phase::SERVING,
        slot: 0,
        slots: 3,
    };
    View::new(Timestamp(0), ViewConfig::with_defaults("f", listen), "me", Generation(5), info, 1)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Decoding an encoded datagram yields the same datagram, unless it was too large to be encoded.
    #[test]
    fn encoding_round_trips(datagram in datagram()) {
        if let Some(bytes) = datagram.to_bytes() {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            prop_assert_eq!(Datagram::from_bytes(&bytes), Ok(datagram));
        }
    }

    /// No input makes a node panic or keep more than its bounds, be it random bytes or valid datagrams with false content.
    #[test]
    fn arbitrary_input_is_bounded(bytes in prop::collection::vec(any::<u8>(), 0..1500), datagrams in prop::collection::vec(datagram(), 1..8)) {
        let mut view = view();
        let from = "127.0.0.9:1".parse().expect("an address");
        view.receive(Timestamp(1000), from, &bytes);
        for datagram in datagrams {
            let Some(mut bytes) = datagram.to_bytes() else { continue };
            view.receive(Timestamp(2000), from, &bytes);
            let middle = bytes.len() / 2;
            bytes[middle] ^= 0x55;
            view.receive(Timestamp(3000), from, &bytes);
            bytes.truncate(middle);
            view.receive(Timestamp(4000), from, &bytes);
        }
        view.handle_timeout(view.next_timeout());
        while let Some((_, bytes)) = view.next_datagram() {
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        }
        prop_assert!(view.pending_counts().0 <= 512);
    }
}

/// Keys added by a newer build are skipped at any depth, its new phases are passed on as numbers, and keys missing from
/// an older build take their default. Another version of the format is distinguished from malformed bytes.
#[test]
fn other_builds_are_understood() {
    let bytes = |version: u8, newer: bool| {
        let mut e = Encoder::new(Vec::new());
        e.map(if newer { 13 } else { 11 }).expect("written");
        e.u8(0).and_then(|e| e.u8(version)).expect("written");
        e.u8(1).and_then(|e| e.str("f")).expect("written");
        e.u8(2).and_then(|e| e.u8(0)).expect("written");
        e.u8(3).and_then(|e| e.u32(77)).expect("written");
        e.u8(4).and_then(|e| e.str("other")).expect("written");
        e.u8(5).and_then(|e| e.u64(9)).expect("written");
        e.u8(6).and_then(|e| e.u32(0)).expect("written");
        e.u8(7).and_then(|e| e.bytes(&[127, 0, 0, 2, 0x1f, 0x0a])).expect("written");
        e.u8(9).and_then(|e| e.u64(0)).expect("written");
        e.u8(10).and_then(|e| e.u32(1)).expect("written");
        if newer {
            e.u8(40)
                .and_then(|e| e.array(2))
                .and_then(|e| e.str("new"))
                .and_then(|e| e.u8(1))
                .expect("written");
            e.u8(41).and_then(|e| e.map(1)).and_then(|e| e.u8(0)).and_then(|e| e.u8(1)).expect("written");
        }
        e.u8(11).and_then(|e| e.map(1)).and_then(|e| e.u8(9)).and_then(|e| e.bool(true)).expect("written");
        e.into_writer()
    };
    for newer in [false, true] {
        let read = Datagram::from_bytes(&bytes(VERSION, newer));
        let decoded = read.map(|d| (d.probe_id, d.sender, d.updates));
        assert_eq!(decoded, Ok((77, "other".to_owned(), None)), "newer: {newer}");
    }
    assert_eq!(Datagram::from_bytes(&bytes(VERSION + 1, false)), Err(DecodeError::OtherVersion));
    assert_eq!(Datagram::from_bytes(b"GET / HTTP/1.1"), Err(DecodeError::Malformed));
}
