package poppynotch.benchlink;

/**
 * The adapter's position in the simulator's input, for error messages: the batch and the instance
 * that are being read or processed. Shared by {@link SimulatorAdapter} and its {@link BatchReader}
 * and confined to one thread.
 */
final class BatchPosition {

    private static final long UNKNOWN = -1;

    private long batch = UNKNOWN;

    /** Null outside a part of the batch. */
    private String instance;

    /** Called when a new batch begins, before its number is known. */
    void beginBatch() {
        batch = UNKNOWN;
        instance = null;
    }

    void setBatch(long number) {
        batch = number;
    }

    void setInstance(String id) {
        instance = id;
    }

    boolean isBatchKnown() {
        return batch >= 0;
    }

    long batch() {
        return batch;
    }

    String instance() {
        return instance;
    }

    @Override
    public String toString() {
        return "batch "
                + (isBatchKnown() ? String.valueOf(batch) : "(number unread)")
                + (instance == null ? "" : ", instance " + instance);
    }
}
