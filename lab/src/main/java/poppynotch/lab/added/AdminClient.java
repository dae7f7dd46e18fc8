package poppynotch.lab.added;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A process's door, where operators ask it. */
final class AdminClient {

    private static final int PATIENCE_MS = 2000;
    private static final String DONE = "done ";
    private static final ObjectMapper JSON = new ObjectMapper();

    private AdminClient() {}

    /** How many members of its fleet a process sees; 0 where nobody answers. */
    static int present(String address) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write("members\n".getBytes(StandardCharsets.UTF_8));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .trim();
            return answer.startsWith(DONE)
                    ? JSON.readTree(answer.substring(DONE.length())).path("present").asInt()
                    : 0;
        } catch (IOException e) {
            return 0;
        }
    }
}
