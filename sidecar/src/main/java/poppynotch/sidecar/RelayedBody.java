package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A body that is too large to buffer, relayed from a source connection to a sink connection. Only
 * its beginning is buffered, until a sink is attached; from then on the source is read no faster
 * than the sink accepts data, so that memory use does not grow with the body.
 *
 * <p>It is created by the source's connection and called on the sidecar's event loop only. Appended
 * data is copied, and released by the caller; chunks for the sink are released by the sink. The
 * buffer of the beginning is on the heap and needs no release.
 */
final class RelayedBody {

    /** Bodies up to this size are received completely before they are passed on. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** A greater length is rejected as invalid: bodies have at most 32 MB. */
    static final long MAX_LENGTH_BYTES = 64 * 1024 * 1024;

    /** The connection that a body is received on. */
    interface Source {
        /** Enables or disables reading. */
        void setReadEnabled(boolean enabled);
    }

    /** The connection that a body is written to. */
    interface Sink {
        /** Receives the next chunk, which the sink releases. */
        void onChunk(ByteBuf chunk);

        /** The body is complete, and all of it was passed on. */
        void onEnd();

        /** The source has failed before the body was complete. */
        void onFailure();
    }

    private final MonotonicClock clock;
    private final Source source;

    /** The beginning of the body, which can be sent again; empty once it was dropped. */
    private ByteBuf buffered;

    /** The beginning was dropped, so the body cannot be sent again. */
    private boolean startDropped;

    /** Null while no sink is attached. */
    private Sink sink;

    private boolean demand;
    private boolean complete;
    private boolean failed;
    private double lastProgressMs;

    /** Creates a body that begins with {@code start}, and takes that buffer over. */
    RelayedBody(MonotonicClock clock, Source source, ByteBuf start) {
        this.clock = clock;
        this.source = source;
        this.buffered = start;
        lastProgressMs = clock.nowMs();
        source.setReadEnabled(false);
    }

    // ---- called by the source ----

    /** Appends received data, which the caller releases. */
    void append(ByteBuf data) {
        lastProgressMs = clock.nowMs();
        if (sink == null && !startDropped) {
            // Data that had been read already when reading was disabled.
            buffered.writeBytes(data);
        } else if (sink != null) {
            // This data is not kept, so the body cannot be sent again and its beginning is dropped.
            buffered = Unpooled.EMPTY_BUFFER;
            startDropped = true;
            sink.onChunk(copyOf(data));
        }
    }

    /** Marks the body as completely received. */
    void complete() {
        complete = true;
        lastProgressMs = clock.nowMs();
        if (sink != null) {
            sink.onEnd();
        }
    }

    /** Marks the body as failed before it was complete. */
    void fail() {
        failed = true;
        if (sink != null) {
            sink.onFailure();
        }
    }

    // ---- called by the sink ----

    /** Passes the body to a sink from now on, from its beginning if that is still buffered. */
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

    /** Detaches a sink; another one may be attached. */
    void detach(Sink detached) {
        if (sink == detached) {
            sink = null;
            setDemand(false);
        }
    }

    /** Sets whether the sink can accept more data. */
    void setDemand(boolean wanted) {
        if (demand != wanted) {
            demand = wanted;
            source.setReadEnabled(wanted);
        }
    }

    // ---- state ----

    /** Whether an attached sink can accept more data. */
    boolean hasDemand() {
        return demand;
    }

    /** Whether all of the body has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Whether it can be sent from its beginning once more. */
    boolean isReplayable() {
        return !startDropped;
    }

    /** When data was last received or passed on, on the sidecar's clock. */
    double lastProgressMs() {
        return lastProgressMs;
    }

    /**
     * Copies a chunk into a buffer of its exact size: receive buffers are larger than the data
     * read, so that many small queued chunks would take many times their size.
     */
    private static ByteBuf copyOf(ByteBuf data) {
        return data.isReadable()
                ? Sidecar.BUFFERS.directBuffer(data.readableBytes()).writeBytes(data)
                : Unpooled.EMPTY_BUFFER;
    }
}
