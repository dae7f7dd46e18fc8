package poppynotch.benchlink;

/**
 * Where in the simulator's input the adapter is, for its error messages: the batch and the instance
 * that are being read or replied to. It is shared by {@link SimulatorAdapter} and its {@link
 * BatchReader} and used by one thread.
 */
final class BatchPosition {

    private static final long UNREAD = -1;

    private long batch = UNREAD;

    /** Null outside of an instance's part. */
    private String instance;

    /** A new batch begins, whose number is not known yet. */
    void beginBatch() {
        batch = UNREAD;
        instance = null;
    }

    void setBatch(long number) {
        batch = number;
    }

    void setInstance(String id) {
        instance = id;
    }

    boolean isBatchRead() {
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
                + (isBatchRead() ? String.valueOf(batch) : "(number unread)")
                + (instance == null ? "" : ", instance " + instance);
    }
}
