package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events between events, so that only complete ones are passed on,
 * and remembers the id of the last one. Events whose id is not above one that was passed on already
 * are dropped: servers may repeat some when a stream is resumed.
 *
 * <p>One instance for each {@link Attempt}, used on the edge's event loop only. Buffers that it
 * returns are the caller's to release; its own is on the heap and unpooled, and needs no release.
 */
final class EventStreamSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final int INITIAL_CAPACITY_BYTES = 256;

    /**
     * An event ends with an empty line, at most {@code LF CR LF}: so many bytes before the scanned
     * position may belong to one that the next chunk completes.
     */
    private static final int MAX_EVENT_END_LENGTH = 3;

    private final ByteBuf pending = Unpooled.buffer(INITIAL_CAPACITY_BYTES);

    /** Up to this index of the pending bytes, all complete events were found. */
    private int scannedIndex;

    private Optional<String> lastId;

    /**
     * A splitter of one response.
     *
     * @param lastId the last event that was passed on before, where a stream is resumed
     */
    EventStreamSplitter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** The id of the last event that was returned, or passed on before. */
    Optional<String> lastId() {
        return lastId;
    }

    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Adds a chunk and returns all events that are complete by now and were not passed on before.
     *
     * @param data still the caller's; its bytes are copied
     * @return the caller's to release; null if there are no events
     */
    ByteBuf add(ByteBuf data) {
        pending.writeBytes(data);
        ByteBuf events = null;
        for (int end = nextEventEnd(); end >= 0; end = nextEventEnd()) {
            ByteBuf event = pending.readSlice(end - pending.readerIndex());
            Optional<String> id = idOf(event);
            if (!isRepeated(id)) {
                if (events == null) {
                    events = Unpooled.buffer(event.readableBytes());
                }
                events.writeBytes(event);
                if (id.isPresent()) {
                    lastId = id;
                }
            }
        }
        pending.discardReadBytes();
        scannedIndex = pending.writerIndex();
        return events;
    }

    /** The bytes behind the last complete event, for the caller to release; maybe empty. */
    ByteBuf remainder() {
        return pending.readBytes(pending.readableBytes());
    }

    /** The index behind the next complete event, or -1. */
    private int nextEventEnd() {
        int start = Math.max(pending.readerIndex(), scannedIndex - MAX_EVENT_END_LENGTH);
        for (int i = start; i < pending.writerIndex(); i++) {
            if (pending.getByte(i) == LINE_FEED && endsEmptyLine(i)) {
                scannedIndex = i + 1;
                return i + 1;
            }
        }
        return -1;
    }

    private boolean endsEmptyLine(int lineFeedIndex) {
        int before = lineFeedIndex - 1;
        if (before >= pending.readerIndex() && pending.getByte(before) == CARRIAGE_RETURN) {
            before--;
        }
        return before >= pending.readerIndex() && pending.getByte(before) == LINE_FEED;
    }

    /** Whether an event was passed on before: its id is not above the last one. */
    private boolean isRepeated(Optional<String> id) {
        if (id.isEmpty() || lastId.isEmpty()) {
            return false;
        }
        try {
            return Long.parseLong(id.get()) <= Long.parseLong(lastId.get());
        } catch (NumberFormatException e) {
            // Ids that are not numbers have no order.
            return id.equals(lastId);
        }
    }

    private static Optional<String> idOf(ByteBuf event) {
        int start = event.readerIndex();
        while (start < event.writerIndex()) {
            int lineFeed = event.indexOf(start, event.writerIndex(), LINE_FEED);
            int end = lineFeed < 0 ? event.writerIndex() : lineFeed;
            if (startsWithIdField(event, start, end)) {
                int valueStart = start + ID_FIELD.length;
                return Optional.of(
                        event.toString(valueStart, end - valueStart, StandardCharsets.UTF_8)
                                .trim());
            }
            start = end + 1;
        }
        return Optional.empty();
    }

    private static boolean startsWithIdField(ByteBuf event, int start, int end) {
        if (end - start < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (event.getByte(start + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
