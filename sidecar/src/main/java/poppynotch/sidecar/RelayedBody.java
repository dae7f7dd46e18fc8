package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A body too large to keep, on its way from the connection it comes from to the one it goes to. Of
 * what has come it holds only the beginning, until somebody takes it; from then on the source gives
 * no faster than the sink takes, so that memory is bounded by a window and not by the body.
 */
final class RelayedBody {

    /** Bodies up to this size are whole before they are passed on. */
    static final int WHOLE = 64 * 1024;

    /** A length beyond this is a false one: bodies reach 32 MB. */
    static final long MOST = 64 * 1024 * 1024;

    /** Where it comes from. */
    interface Source {
        /** Whether to go on reading. */
        void flow(boolean wanted);
    }

    /** Where it goes. */
    interface Sink {
        /** The next part, which is the sink's from now on. */
        void part(ByteBuf data);

        void end();

        /** No more comes, and what came is not whole. */
        void broken();
    }

    private final MonotonicClock clock;
    private final Source source;

    /** All that has come, as long as that is kept; later what has come while nobody took it. */
    private ByteBuf held;

    private boolean partGone;
    private Sink sink;
    private boolean wanted;
    private boolean ended;
    private boolean failed;
    private double movedAt;

    /** A body that begins with {@code held}, which is the body's from now on. */
    RelayedBody(MonotonicClock clock, Source source, ByteBuf held) {
        this.clock = clock;
        this.source = source;
        this.held = held;
        movedAt = clock.now();
        source.flow(false);
    }

    /** More has come. */
    void add(ByteBuf data) {
        movedAt = clock.now();
        if (sink == null && !partGone) {
            // What was read already when the source was stopped.
            held.writeBytes(data);
        } else if (sink != null) {
            // The beginning is of no more use: it could not be sent again with what is gone now.
            held = Unpooled.EMPTY_BUFFER;
            partGone = true;
            sink.part(copy(data));
        }
    }

    /** All has come. */
    void end() {
        ended = true;
        movedAt = clock.now();
        if (sink != null) {
            sink.end();
        }
    }

    /** No more comes though it is not whole. */
    void fail() {
        failed = true;
        if (sink != null) {
            sink.broken();
        }
    }

    /** It goes there from now on, from its beginning if that is still held. */
    void attach(Sink to) {
        sink = to;
        wants(true);
        if (held.isReadable()) {
            movedAt = clock.now();
            to.part(copy(held.duplicate()));
        }
        if (failed) {
            to.broken();
        } else if (ended && sink == to) {
            to.end();
        }
    }

    /** That sink takes no more; another may. */
    void detach(Sink from) {
        if (sink == from) {
            sink = null;
            wants(false);
        }
    }

    void wants(boolean more) {
        if (wanted != more) {
            wanted = more;
            source.flow(more);
        }
    }

    boolean isWanted() {
        return wanted;
    }

    boolean isEnded() {
        return ended;
    }

    /** Whether it could be sent from its beginning once more. */
    boolean isHeld() {
        return !partGone;
    }

    /** When some of it last came or went. */
    double movedAt() {
        return movedAt;
    }

    /**
     * A part for the network, in a buffer of its own size: parts as they are read sit each in a
     * buffer made for more, and many small ones that wait would take many times their size.
     */
    private static ByteBuf copy(ByteBuf data) {
        return data.isReadable()
                ? Sidecar.BUFFERS.directBuffer(data.readableBytes()).writeBytes(data)
                : Unpooled.EMPTY_BUFFER;
    }
}
