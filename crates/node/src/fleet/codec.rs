//! Encoding and decoding of gossip messages.

use std::{net::IpAddr, sync::Arc};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    config::Generation,
    id::Incarnation,
    member::{Member, Role, Suspicion},
    spread::{BUCKETS, Buckets, Hash, Inventory, Item, MAX_ITEM_BYTES, Marker, Message, Summary},
};
use cactusroad_wire::spread as wire;

/// An invalid gossip message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode the gossip message of the peer; check that both run the same release")]
pub struct Error;

/// Encodes a message.
pub fn encode(message: &Message) -> Bytes {
    let marker = message.marker.map(|marker| wire::Marker {
        generation: marker.generation.0,
        hash: Bytes::copy_from_slice(&marker.hash.0),
        accepted_at: marker.accepted_at.as_micros(),
    });
    let summary = message.summary.map(|summary| wire::Summary {
        members: summary.members,
        items: summary.items,
    });
    let buckets = message.buckets.as_ref().map(|buckets| wire::Buckets {
        members: buckets.members.to_vec(),
        items: buckets.items.to_vec(),
    });
    let want_contents = message.want_contents.iter();
    cactusroad_wire::encode(&wire::Message {
        marker,
        members: message.members.iter().map(from_member).collect(),
        items: message.items.iter().map(from_item).collect(),
        summary,
        buckets,
        member_inventories: message
            .member_inventories
            .iter()
            .map(from_inventory)
            .collect(),
        item_inventories: message
            .item_inventories
            .iter()
            .map(from_inventory)
            .collect(),
        want_members: message.want_members.clone(),
        want_items: message.want_items.clone(),
        want_contents: want_contents
            .map(|hash| Bytes::copy_from_slice(&hash.0))
            .collect(),
        contents: message.contents.clone(),
    })
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if `body` is not a valid message or a field is out of range.
pub fn decode(body: Bytes) -> Result<Message, Error> {
    let message: wire::Message = cactusroad_wire::decode(body).map_err(|_| Error)?;
    let summary = message.summary.map(|summary| Summary {
        members: summary.members,
        items: summary.items,
    });
    let mut decoded = Message {
        marker: message.marker.map(to_marker).transpose()?,
        members: message
            .members
            .into_iter()
            .map(to_member)
            .collect::<Result<_, _>>()?,
        items: message
            .items
            .into_iter()
            .map(to_item)
            .collect::<Result<_, _>>()?,
        summary,
        buckets: message.buckets.map(to_buckets).transpose()?,
        member_inventories: to_inventories(message.member_inventories)?,
        item_inventories: to_inventories(message.item_inventories)?,
        want_members: message.want_members,
        want_items: message.want_items,
        want_contents: message
            .want_contents
            .iter()
            .map(to_hash)
            .collect::<Result<_, _>>()?,
        contents: message.contents,
    };
    decoded.want_members.sort_unstable();
    decoded.want_items.sort_unstable();
    Ok(decoded)
}

fn from_member(member: &Member) -> wire::Member {
    let address = match member.address.ip() {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    };
    let suspicions = member.doubts.iter().map(|suspicion| wire::Doubt {
        peer: suspicion.peer,
        until: suspicion.until.as_micros(),
    });
    wire::Member {
        name: member.name.to_string(),
        incarnation: member.incarnation.0,
        sequence: member.sequence,
        role: u32::from(member.role as u8),
        address,
        port: u32::from(member.address.port()),
        data_centre: member.data_centre.to_string(),
        leaving: member.leaving,
        cold: member.cold,
        versions: member.versions.iter().map(|v| v.to_string()).collect(),
        doubts: suspicions.collect(),
        remove_at: member.remove_at.map_or(0, Time::as_micros),
        leaving_until: member.leaving_until.map_or(0, Time::as_micros),
    }
}

fn to_member(member: wire::Member) -> Result<Member, Error> {
    let role = u8::try_from(member.role).ok().and_then(Role::from_repr);
    let port = u16::try_from(member.port).map_err(|_| Error)?;
    let ip = to_ip(&member.address)?;
    let mut decoded = Member::new(
        member.name,
        role.ok_or(Error)?,
        (ip, port).into(),
        member.data_centre,
    );
    decoded.incarnation = Incarnation(member.incarnation);
    decoded.sequence = member.sequence;
    decoded.leaving = member.leaving;
    decoded.cold = member.cold;
    decoded.versions = member.versions.into_iter().map(Arc::from).collect();
    decoded.versions.sort();
    for suspicion in member.doubts {
        let suspicion = Suspicion {
            peer: suspicion.peer,
            until: Time::from_micros(suspicion.until),
        };
        decoded.suspect(suspicion, Time::ZERO);
    }
    decoded.remove_at = to_deadline(member.remove_at);
    decoded.leaving_until = to_deadline(member.leaving_until);
    Ok(decoded)
}

fn to_deadline(micros: u64) -> Option<Time> {
    (micros > 0).then(|| Time::from_micros(micros))
}

fn to_ip(bytes: &[u8]) -> Result<IpAddr, Error> {
    let v4: Result<[u8; 4], _> = bytes.try_into();
    let v6: Result<[u8; 16], _> = bytes.try_into();
    match (v4, v6) {
        (Ok(octets), _) => Ok(octets.into()),
        (_, Ok(octets)) => Ok(octets.into()),
        _ => Err(Error),
    }
}

fn from_item(item: &Item) -> wire::Item {
    wire::Item {
        key: item.key.to_string(),
        version: item.version,
        body: item.body.to_string(),
        until: item.until.as_micros(),
        urgent: item.urgent,
    }
}

fn to_item(item: wire::Item) -> Result<Item, Error> {
    if item.body.len() > MAX_ITEM_BYTES {
        return Err(Error);
    }
    Ok(Item {
        key: item.key.into(),
        version: item.version,
        body: item.body.into(),
        until: Time::from_micros(item.until),
        urgent: item.urgent,
    })
}

fn to_marker(marker: wire::Marker) -> Result<Marker, Error> {
    Ok(Marker {
        generation: Generation(marker.generation),
        hash: to_hash(&marker.hash)?,
        accepted_at: Time::from_micros(marker.accepted_at),
    })
}

fn to_hash(bytes: &Bytes) -> Result<Hash, Error> {
    Hash::from_bytes(bytes).ok_or(Error)
}

fn to_buckets(buckets: wire::Buckets) -> Result<Box<Buckets>, Error> {
    Ok(Box::new(Buckets {
        members: buckets.members.try_into().map_err(|_| Error)?,
        items: buckets.items.try_into().map_err(|_| Error)?,
    }))
}

fn from_inventory(inventory: &Inventory) -> wire::Inventory {
    wire::Inventory {
        bucket: u32::try_from(inventory.bucket).unwrap_or(u32::MAX),
        names: inventory.records.iter().map(|pair| pair.0).collect(),
        states: inventory.records.iter().map(|pair| pair.1).collect(),
    }
}

fn to_inventories(inventories: Vec<wire::Inventory>) -> Result<Vec<Inventory>, Error> {
    inventories.into_iter().map(to_inventory).collect()
}

fn to_inventory(inventory: wire::Inventory) -> Result<Inventory, Error> {
    let bucket = usize::try_from(inventory.bucket).map_err(|_| Error)?;
    if bucket >= BUCKETS || inventory.names.len() != inventory.states.len() {
        return Err(Error);
    }
    let mut records: Vec<_> = inventory.names.into_iter().zip(inventory.states).collect();
    records.sort_unstable();
    Ok(Inventory { bucket, records })
}
