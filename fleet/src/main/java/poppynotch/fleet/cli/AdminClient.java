package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A blocking client of one process's admin server. Each request is a line on a separate connection,
 * and the response is a line that begins with {@code done} or {@code error}.
 */
final class AdminClient {

    /**
     * Time-out of connecting and of reading. A process responds within a second; one that takes
     * longer than this is considered unavailable.
     */
    private static final int TIMEOUT_MS = (int) TimeUnit.SECONDS.toMillis(3);

    private static final String DONE = "done";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String address;
    private final String host;
    private final int port;

    /**
     * Creates a client of the admin server at an address.
     *
     * @throws IllegalArgumentException if the address is not {@code HOST:PORT}
     */
    AdminClient(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("--door must be HOST:PORT but is " + address);
        }
        this.address = address;
        host = address.substring(0, colon);
        port = Integer.parseInt(address.substring(colon + 1));
    }

    /**
     * Sends a request and parses the JSON that follows {@code done} in the response.
     *
     * @throws IOException if there is no response, or the request is rejected
     */
    JsonNode requestJson(String request) throws IOException {
        String response = send(request);
        String prefix = DONE + " ";
        if (!response.startsWith(prefix)) {
            throw new IOException(address + " says: " + response);
        }
        return JSON.readTree(response.substring(prefix.length()));
    }

    /**
     * Sends a request.
     *
     * @return the response, which begins with {@code done}
     * @throws IOException if there is no response, or the request is rejected
     */
    String send(String request) throws IOException {
        String response;
        try {
            response = exchange(request);
        } catch (IOException e) {
            throw new IOException("no answer from " + address + ": " + e.getMessage(), e);
        }
        if (!response.startsWith(DONE)) {
            throw new IOException(
                    address + " says: " + (response.isEmpty() ? "nothing" : response));
        }
        return response;
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.UTF_8).trim();
        }
    }
}
