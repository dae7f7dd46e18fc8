package poppynotch.router;

/** A request in flight at a server, for whoever sent it. Used on the edge's event loop only. */
interface UpstreamCall {

    /**
     * Stops the request and closes its connection; its listener is not called any more.
     *
     * @return whether the server may have executed the request
     */
    boolean cancel();

    /** Reads the rest of the response from the network, or pauses. */
    void setReading(boolean reading);
}
