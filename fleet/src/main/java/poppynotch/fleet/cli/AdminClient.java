package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** The operators' door of one process: one line there, one line back. */
final class AdminClient {

    /** Answers are owed within a second; a process that takes longer than this has none. */
    private static final int PATIENCE_MS = (int) TimeUnit.SECONDS.toMillis(3);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String address;

    /** A door at host:port. */
    AdminClient(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new IllegalArgumentException("--door must be HOST:PORT but is " + address);
        }
        this.address = address;
    }

    /** Asks, and reads what comes after {@code done}. */
    JsonNode ask(String call) throws IOException {
        String answer = tell(call);
        if (!answer.startsWith("done ")) {
            throw new IOException(address + " says: " + answer);
        }
        return JSON.readTree(answer.substring("done ".length()));
    }

    /** Asks, and gives the answer as it is; one that is no {@code done} is an exception. */
    String tell(String call) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .trim();
            if (!answer.startsWith("done")) {
                throw new IOException(
                        address + " says: " + (answer.isEmpty() ? "nothing" : answer));
            }
            return answer;
        } catch (IOException e) {
            throw e.getMessage() != null && e.getMessage().startsWith(address)
                    ? e
                    : new IOException("no answer from " + address + ": " + e.getMessage(), e);
        }
    }
}
