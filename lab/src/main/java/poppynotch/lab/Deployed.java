package poppynotch.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Finds how a sidecar is started: the deploy file's {@code run}, from this folder upward. */
final class Deployed {

    private Deployed() {}

    /** The folder that holds {@code deploy/balancer.toml}. */
    static Path root() throws IOException {
        Path here = Path.of("").toAbsolutePath();
        for (Path folder = here; folder != null; folder = folder.getParent()) {
            if (Files.exists(folder.resolve("deploy/balancer.toml"))) {
                return folder;
            }
        }
        throw new IOException(
                "there is no deploy/balancer.toml here or above; "
                        + "--sidecar tells how to start a sidecar");
    }

    /** The command that becomes a sidecar. */
    static String command(Path root) throws IOException {
        JsonNode run =
                new TomlMapper()
                        .readTree(Files.readAllBytes(root.resolve("deploy/balancer.toml")))
                        .get("run");
        if (run == null || !run.isTextual()) {
            throw new IOException(root.resolve("deploy/balancer.toml") + " has no run");
        }
        return run.asText();
    }
}
