package poppynotch.lab.world;

import java.util.function.Consumer;

/** A sidecar as its callers and its operators use it. Called on the day's thread. */
public interface SidecarPort {

    /**
     * Sends it a request. The consumer is called once, when the answer reaches the caller, or never
     * if the sidecar stops answering.
     */
    void request(Call call, Consumer<Answer> answer);

    /** The caller stops waiting. */
    void abandon(Call call);

    /** Kills the process. */
    void kill();

    /** Starts a graceful shutdown: it completes what it has accepted and accepts no more. */
    void terminate();
}
