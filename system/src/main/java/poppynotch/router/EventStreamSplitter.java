package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts an event stream between its events, so that half an event is never passed on, and knows the
 * id of the last whole one. Events at or below an id that was passed on already are left out.
 */
final class EventStreamSplitter {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBuf pending = Unpooled.buffer(256);
    private int scanned;
    private Optional<String> lastId;

    /** A splitter of a stream that goes on after an event; empty at the beginning. */
    EventStreamSplitter(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** The id of the last event that was passed on. */
    Optional<String> lastId() {
        return lastId;
    }

    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Takes in what has come, and gives all events that are whole by now; null if there are none.
     */
    ByteBuf add(ByteBuf data) {
        pending.writeBytes(data);
        ByteBuf whole = null;
        for (int end = nextEnd(); end >= 0; end = nextEnd()) {
            ByteBuf event = pending.readSlice(end - pending.readerIndex());
            Optional<String> id = idOf(event);
            if (!isRepeated(id)) {
                whole = whole == null ? Unpooled.buffer(event.readableBytes()) : whole;
                whole.writeBytes(event);
                lastId = id.isPresent() ? id : lastId;
            }
        }
        pending.discardReadBytes();
        scanned = pending.writerIndex();
        return whole;
    }

    /** What is left at the end of a stream. */
    ByteBuf rest() {
        return pending.readBytes(pending.readableBytes());
    }

    /** The end of the next whole event: behind an empty line. */
    private int nextEnd() {
        int from = Math.max(pending.readerIndex(), scanned - 3);
        for (int i = from; i < pending.writerIndex(); i++) {
            if (pending.getByte(i) == LINE_FEED && endsEmptyLine(i)) {
                scanned = i + 1;
                return i + 1;
            }
        }
        return -1;
    }

    private boolean endsEmptyLine(int lineFeed) {
        int before = lineFeed - 1;
        if (before >= pending.readerIndex() && pending.getByte(before) == CARRIAGE_RETURN) {
            before--;
        }
        return before >= pending.readerIndex() && pending.getByte(before) == LINE_FEED;
    }

    private boolean isRepeated(Optional<String> id) {
        if (id.isEmpty() || lastId.isEmpty()) {
            return false;
        }
        try {
            return Long.parseLong(id.get()) <= Long.parseLong(lastId.get());
        } catch (NumberFormatException e) {
            return id.equals(lastId);
        }
    }

    private static Optional<String> idOf(ByteBuf event) {
        int start = event.readerIndex();
        while (start < event.writerIndex()) {
            int end = event.indexOf(start, event.writerIndex(), LINE_FEED);
            end = end < 0 ? event.writerIndex() : end;
            if (startsWithId(event, start, end)) {
                return Optional.of(
                        event.toString(
                                        start + ID.length,
                                        end - start - ID.length,
                                        StandardCharsets.UTF_8)
                                .trim());
            }
            start = end + 1;
        }
        return Optional.empty();
    }

    private static boolean startsWithId(ByteBuf event, int start, int end) {
        if (end - start < ID.length) {
            return false;
        }
        for (int i = 0; i < ID.length; i++) {
            if (event.getByte(start + i) != ID[i]) {
                return false;
            }
        }
        return true;
    }
}
