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
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** A length beyond this is a false one: bodies reach 32 MB. */
    static final long MAX_LENGTH_BYTES = 64 * 1024 * 1024;

    /** Where it comes from. */
    interface Source {
        /** Whether to go on reading. */
        void setReadEnabled(boolean wanted);
    }

    /** Where it goes. */
    interface Sink {
        /** The next part, which is the sink's from now on. */
        void onChunk(ByteBuf data);

        void onEnd();

        /** No more comes, and what came is not whole. */
        void onFailure();
    }

    private final MonotonicClock clock;
    private final Source source;

    /** All that has come, as long as that is kept; later what has come while nobody took it. */
    private ByteBuf buffered;

    private boolean startDropped;
    private Sink sink;
    private boolean demand;
    private boolean complete;
    private boolean failed;
    private double lastProgressMs;

    /** A body that begins with {@code held}, which is the body's from now on. */
    RelayedBody(MonotonicClock clock, Source source, ByteBuf held) {
        this.clock = clock;
        this.source = source;
        this.buffered = held;
        lastProgressMs = clock.nowMs();
        source.setReadEnabled(false);
    }

    /** More has come. */
    void append(ByteBuf data) {
        lastProgressMs = clock.nowMs();
        if (sink == null && !startDropped) {
            // What was read already when the source was stopped.
            buffered.writeBytes(data);
        } else if (sink != null) {
            // The beginning is of no more use: it could not be sent again with what is gone now.
            buffered = Unpooled.EMPTY_BUFFER;
            startDropped = true;
            sink.onChunk(copyOf(data));
        }
    }

    /** All has come. */
    void complete() {
        complete = true;
        lastProgressMs = clock.nowMs();
        if (sink != null) {
            sink.onEnd();
        }
    }

    /** No more comes though it is not whole. */
    void fail() {
        failed = true;
        if (sink != null) {
            sink.onFailure();
        }
    }

    /** It goes there from now on, from its beginning if that is still held. */
    void attach(Sink to) {
        sink = to;
        setDemand(true);
        if (buffered.isReadable()) {
            lastProgressMs = clock.nowMs();
            to.onChunk(copyOf(buffered.duplicate()));
        }
        if (failed) {
            to.onFailure();
        } else if (complete && sink == to) {
            to.onEnd();
        }
    }

    /** That sink takes no more; another may. */
    void detach(Sink from) {
        if (sink == from) {
            sink = null;
            setDemand(false);
        }
    }

    void setDemand(boolean more) {
        if (demand != more) {
            demand = more;
            source.setReadEnabled(more);
        }
    }

    boolean hasDemand() {
        return demand;
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether it could be sent from its beginning once more. */
    boolean isReplayable() {
        return !startDropped;
    }

    /** When some of it last came or went. */
    double lastProgressMs() {
        return lastProgressMs;
    }

    /**
     * A part for the network, in a buffer of its own size: parts as they are read sit each in a
     * buffer made for more, and many small ones that wait would take many times their size.
     */
    private static ByteBuf copyOf(ByteBuf data) {
        return data.isReadable()
                ? Sidecar.BUFFERS.directBuffer(data.readableBytes()).writeBytes(data)
                : Unpooled.EMPTY_BUFFER;
    }
}
