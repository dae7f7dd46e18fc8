package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * What a client sent and an endpoint gets, beyond what the balancer decides by. It is made by
 * {@link RequestDispatcher} and kept by {@link Exchange} until the request is over; it needs no
 * release.
 *
 * @param uri path and query
 * @param headers those that concern the whole way, not only the client's connection
 * @param body all of the body, or null for a large one
 * @param upload a large body that is relayed as it comes, or null
 */
record ForwardedRequest(
        HttpMethod method, String uri, HttpHeaders headers, byte[] body, RelayedBody upload) {}
