package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are
 * forwarded, and tracks the id of the last one. Events whose id is not greater than that of an
 * event already forwarded are dropped, as servers may repeat events when a stream is resumed.
 *
 * <p>One instance per {@link Attempt}, used on the edge's event loop only. The caller releases the
 * returned buffers; the internal buffer is an unpooled heap buffer and is not released.
 */
final class EventStreamSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final int INITIAL_CAPACITY_BYTES = 256;

    /**
     * The longest end of an event, an empty line as {@code LF CR LF}. Scanning resumes this many
     * bytes earlier, as the end of an event may be split between two chunks.
     */
    private static final int MAX_EVENT_END_LENGTH = 3;

    private final ByteBuf pending = Unpooled.buffer(INITIAL_CAPACITY_BYTES);

    /** The index in the pending bytes up to which complete events were searched for. */
    private int scannedIndex;

    private Optional<String> lastId;

    /**
     * Creates the splitter of one response.
     *
     * @param lastId the last event already forwarded if a stream is resumed, else empty
     */
    EventStreamSplitter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** The id of the last event that was returned, or forwarded before a resume. */
    Optional<String> lastId() {
        return lastId;
    }

    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Adds a chunk and returns the events that are now complete, except for repeated ones.
     *
     * @param data copied; ownership stays with the caller
     * @return owned by the caller; null if there are no events
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

    /** The bytes after the last complete event, possibly empty; owned by the caller. */
    ByteBuf remainder() {
        return pending.readBytes(pending.readableBytes());
    }

    /** The index after the next complete event, or -1. */
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

    /** Whether an event was already forwarded: its id is not greater than the last one. */
    private boolean isRepeated(Optional<String> id) {
        if (id.isEmpty() || lastId.isEmpty()) {
            return false;
        }
        try {
            return Long.parseLong(id.get()) <= Long.parseLong(lastId.get());
        } catch (NumberFormatException e) {
            // Ids that are not numbers can't be ordered.
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
                        event.toString(valueStart, end - valueStart, StandardCharsets.ISO_8859_1)
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
