package poppynotch.demo;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** One blocking HTTP request of a simulated client or server. Instances are used once. */
final class HttpCall {

    static final int STATUS_OK = 200;
    private static final int TIMEOUT_MS = 5000;

    /** A complete response. */
    record Response(int status, String body) {}

    private final HttpURLConnection connection;

    /** Body of the request; null for none. */
    private String requestBody;

    private HttpCall(HttpURLConnection connection) {
        this.connection = connection;
    }

    static HttpCall of(String method, String url) throws IOException {
        HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        return new HttpCall(connection);
    }

    HttpCall header(String name, String value) {
        connection.setRequestProperty(name, value);
        return this;
    }

    HttpCall body(String json) {
        requestBody = json;
        return this;
    }

    /** Sends the request and waits for the complete response, whatever its status. */
    Response send() throws IOException {
        if (requestBody != null) {
            connection.setDoOutput(true);
            connection.getOutputStream().write(requestBody.getBytes(StandardCharsets.UTF_8));
        }
        int status = connection.getResponseCode();
        try (InputStream in =
                status >= HttpURLConnection.HTTP_BAD_REQUEST
                        ? connection.getErrorStream()
                        : connection.getInputStream()) {
            return new Response(
                    status,
                    in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
