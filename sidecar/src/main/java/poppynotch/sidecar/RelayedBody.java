package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A body too large to buffer, on its way from the connection that it comes from to the one that it
 * goes to. It buffers only the beginning, until a sink is attached; from then on the source is read
 * no faster than the sink takes more, so that memory is limited by a window and not by the body.
 *
 * <p>It is made by the source's connection and called on the sidecar's event loop only. Data that
 * is added stays the caller's to release, as it is copied; chunks for the sink are the sink's to
 * release. What is buffered is on the heap and needs no release.
 */
final class RelayedBody {

    /** Bodies up to this size are complete before they are passed on. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** A length beyond this is a false one: bodies reach 32 MB. */
    static final long MAX_LENGTH_BYTES = 64 * 1024 * 1024;

    /** The connection that a body comes from. */
    interface Source {
        /** Reads on, or stops reading. */
        void setReadEnabled(boolean enabled);
    }

    /** The connection that a body goes to. */
    interface Sink {
        /** The next chunk, which is the sink's to release. */
        void onChunk(ByteBuf data);

        /** The body is complete. */
        void onEnd();

        /** No more comes, and the body is not complete. */
        void onFailure();
    }

    private final MonotonicClock clock;
    private final Source source;

    /** All that has come, as long as none of it was passed on; empty after that. */
    private ByteBuf buffered;

    /** Some has been passed on and is no longer buffered. */
    private boolean startDropped;

    /** Null while nobody takes the body. */
    private Sink sink;

    private boolean demand;
    private boolean complete;
    private boolean failed;
    private double lastProgressMs;

    /** A body that begins with {@code start}, which is the body's from now on. */
    RelayedBody(MonotonicClock clock, Source source, ByteBuf start) {
        this.clock = clock;
        this.source = source;
        this.buffered = start;
        lastProgressMs = clock.nowMs();
        source.setReadEnabled(false);
    }

    // ---- the source's side ----

    /** More of the body has come; the data stays the caller's. */
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

    /** All of the body has come. */
    void complete() {
        complete = true;
        lastProgressMs = clock.nowMs();
        if (sink != null) {
            sink.onEnd();
        }
    }

    /** No more comes, though the body is not complete. */
    void fail() {
        failed = true;
        if (sink != null) {
            sink.onFailure();
        }
    }

    // ---- the sink's side ----

    /** The body goes there from now on, from its beginning if that is still buffered. */
    void attach(Sink attached) {
        sink = attached;
        setDemand(true);
        if (buffered.isReadable()) {
            lastProgressMs = clock.nowMs();
            attached.onChunk(copyOf(buffered.duplicate()));
        }
        if (failed) {
            attached.onFailure();
        } else if (complete && sink == attached) {
            attached.onEnd();
        }
    }

    /** That sink takes no more; another may. */
    void detach(Sink detached) {
        if (sink == detached) {
            sink = null;
            setDemand(false);
        }
    }

    /** The sink can take more, or no more for now. */
    void setDemand(boolean wanted) {
        if (demand != wanted) {
            demand = wanted;
            source.setReadEnabled(wanted);
        }
    }

    // ---- its state ----

    /** Whether a sink can take more. */
    boolean hasDemand() {
        return demand;
    }

    /** Whether all of the body has come. */
    boolean isComplete() {
        return complete;
    }

    /** Whether it could be sent from its beginning once more. */
    boolean isReplayable() {
        return !startDropped;
    }

    /** When some of it last came or went, on the sidecar's clock. */
    double lastProgressMs() {
        return lastProgressMs;
    }

    /**
     * A chunk for the network, in a buffer of its own size: chunks as they are read sit each in a
     * buffer made for more, and many small ones that wait would take many times their size.
     */
    private static ByteBuf copyOf(ByteBuf data) {
        return data.isReadable()
                ? Sidecar.BUFFERS.directBuffer(data.readableBytes()).writeBytes(data)
                : Unpooled.EMPTY_BUFFER;
    }
}
