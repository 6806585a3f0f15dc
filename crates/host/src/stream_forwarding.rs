//! Forwards the events of a relayed generation to its client.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use slog::warn;

use crate::boundary::{Registry, Wire};
use crate::event_id::EventId;
use crate::event_order::EventVerdict;
use crate::response_body::BodyPart;
use crate::stream_relay::{StreamEnd, StreamRelay};
use crate::upstream::ExchangeError;

impl<W, R> StreamRelay<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Forwards complete events to the client, without those that it has already received. Returns false if
    /// the source sent something else after them, which is not forwarded.
    pub(crate) async fn forward_events(&mut self, data: &[u8]) -> Result<bool, StreamEnd> {
        if !self.splitter.push(data) {
            warn!(self.cx.log, "event too large"; "call" => %self.call.id);
            let err = ExchangeError::Invalid("an event is too large".to_owned());
            self.cx.record_invalid_response(self.source.guard.endpoint, &err);
            return Err(StreamEnd::Interrupted);
        }
        let mut out = BytesMut::new();
        let (mut received, mut has_event, mut is_valid) = (0, false, true);
        let sent_before = self.events;
        while let Some(event) = self.splitter.next_event() {
            if self.order.last().id().is_some() && event.is_foreign() {
                is_valid = false;
                break;
            }
            has_event |= !event.is_comment();
            if !event.has_data() {
                out.extend_from_slice(&event.bytes);
                continue;
            }
            received += 1;
            match self.order.check(event.id) {
                EventVerdict::Send => {
                    self.kept.push(event.bytes);
                    self.move_kept(&mut out);
                }
                EventVerdict::Keep => self.kept.push(event.bytes),
                EventVerdict::Drop => {}
                EventVerdict::Missing(next) => return Err(self.events_missing(next)),
            }
        }
        let kept: usize = self.kept.iter().map(Bytes::len).sum();
        if !self.partial_memory.resize(self.splitter.partial_len() + kept) {
            warn!(self.cx.log, "incomplete events fill the memory"; "call" => %self.call.id);
            return Err(StreamEnd::Interrupted);
        }
        if !out.is_empty() {
            let received = if self.events > sent_before { received } else { 0 };
            self.send_events(out.freeze(), received).await?;
        }
        // The time for which a slow client delays the relay does not count against the source.
        if has_event {
            self.stall_clock.record_event(Instant::now());
        }
        Ok(is_valid)
    }

    /// Moves the events that are kept to `out`.
    fn move_kept(&mut self, out: &mut BytesMut) {
        self.events += self.kept.len() as u64;
        self.kept.drain(..).for_each(|event| out.extend_from_slice(&event));
    }

    /// Sends the events that are kept, if there are any, at the end of a complete response.
    pub(crate) async fn send_kept(&mut self) -> Result<(), StreamEnd> {
        match self.order.end_answer() {
            EventVerdict::Send => {
                let (mut out, received) = (BytesMut::new(), self.kept.len() as u32);
                self.move_kept(&mut out);
                self.send_events(out.freeze(), received).await
            }
            EventVerdict::Missing(next) => Err(self.events_missing(next)),
            EventVerdict::Keep | EventVerdict::Drop => Ok(()),
        }
    }

    /// Ends a stream in which events are missing before `next`.
    fn events_missing(&self, next: EventId) -> StreamEnd {
        warn!(self.cx.log, "events missing"; "call" => %self.call.id,
            "last" => %self.order.last(), "next" => %next, "endpoint" => %self.source.name);
        StreamEnd::Interrupted
    }

    /// Sends events to the client. `received` is the number of events that the source has sent since the
    /// last call, and zero if there are only comments to send.
    async fn send_events(&mut self, events: Bytes, received: u32) -> Result<(), StreamEnd> {
        if received > 0 {
            self.record_events();
            self.observe_gaps(received, Instant::now());
            self.record_origin();
        }
        if let Some(buffer) = &self.buffer {
            match buffer.room().await {
                true => buffer.add(events.len()),
                false => return Err(StreamEnd::ClientTooSlow),
            }
        }
        if self.tx.capacity() == 0 {
            self.observe_slow_client();
        }
        let places = self.places_for(events.len());
        let reserved = self.tx.reserve_many(places).await;
        let mut permits = reserved.map_err(|_| StreamEnd::ClientDisconnected)?;
        // The other places limit how much waits: a large part is sent only when little waits before it.
        if let Some(permit) = permits.next() {
            permit.send(Ok(BodyPart::Data(events)));
        }
        Ok(())
    }

    /// Returns the number of places in the channel to the client that have to be free for a part.
    fn places_for(&self, bytes: usize) -> usize {
        /// Size of a part for which one place is enough, in bytes.
        const PLACE_BYTES: usize = 1 << 10;
        match self.buffer {
            // The buffer limits the size of what waits.
            Some(_) => 1,
            None => bytes.div_ceil(PLACE_BYTES).clamp(1, self.tx.max_capacity()),
        }
    }
}
