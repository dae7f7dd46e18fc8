package poppynotch.router;

/** The sender's handle of a request in flight. Used on the edge's event loop only. */
interface UpstreamCall {

    /**
     * Cancels the request and closes its connection; the listener is not called any more.
     *
     * @return whether the server may have executed the request
     */
    boolean cancel();

    /** Resumes or pauses reading the response from the network. */
    void setReading(boolean reading);
}
