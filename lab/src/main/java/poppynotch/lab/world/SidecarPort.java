package poppynotch.lab.world;

import java.util.function.Consumer;

/** A sidecar as its callers and its operators see it. */
public interface SidecarPort {

    /**
     * Gives it a request; the answer comes once, at the caller, or never where the sidecar falls
     * silent.
     */
    void request(Call call, Consumer<Answer> answer);

    /** The caller waits no longer. */
    void abandon(Call call);

    /** Ends it without warning. */
    void kill();

    /** Asks it to end: it answers what it has taken, and takes no more. */
    void terminate();
}
