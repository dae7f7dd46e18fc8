package poppynotch.sidecar;

/**
 * An endpoint's response with status 200. It needs no release; a stream must be attached to a sink,
 * or its connection closed.
 *
 * @param contentType the {@code Content-Type} header, or null
 * @param body all of the body, or null for a large one
 * @param stream a large body that is relayed while it is received, or null
 * @param contentLength the length of a large body in bytes, or -1 if it is not known
 */
record EndpointResponse(String contentType, byte[] body, RelayedBody stream, long contentLength) {}
