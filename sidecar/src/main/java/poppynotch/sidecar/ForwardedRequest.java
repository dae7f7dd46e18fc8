package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The parts of a client's request that are forwarded to an endpoint and not used by the balancer.
 * Created by {@link RequestDispatcher} and kept by {@link Exchange} until the request is over; it
 * needs no release.
 *
 * @param uri path and query
 * @param headers the end-to-end headers
 * @param body all of the body, or null for a large one
 * @param upload a large body that is relayed while it is received, or null
 */
record ForwardedRequest(
        HttpMethod method, String uri, HttpHeaders headers, byte[] body, RelayedBody upload) {}
