package poppynotch.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import poppynotch.lab.socket.SocketWorld;

/**
 * Finds how a sidecar is started: the {@code run} of {@code deploy/balancer.toml}, which is looked
 * for from the working directory upward. Stateless.
 */
final class DeployFile {

    private static final String DEPLOY_FILE = "deploy/balancer.toml";

    private DeployFile() {}

    /**
     * Describes how sidecars are started for a command with the options {@code --sidecar} and
     * {@code --logs}.
     *
     * @param sidecar the command that starts a sidecar in the working directory, or null for the
     *     deploy file's {@code run} in its folder
     * @param logs the folder for the processes' logs, or null to keep none
     * @throws IOException if there is no usable deploy file and no command
     */
    static SocketWorld.Launch launch(String sidecar, Path logs) throws IOException {
        Path root = sidecar == null ? findRoot() : Path.of("").toAbsolutePath();
        return new SocketWorld.Launch(
                sidecar == null ? readRunCommand(root) : sidecar,
                root,
                logs == null ? null : logs.toAbsolutePath());
    }

    /**
     * Finds the folder that holds {@code deploy/balancer.toml}.
     *
     * @throws IOException if neither the working directory nor any folder above it holds one
     */
    static Path findRoot() throws IOException {
        Path workingDirectory = Path.of("").toAbsolutePath();
        for (Path folder = workingDirectory; folder != null; folder = folder.getParent()) {
            if (Files.exists(folder.resolve(DEPLOY_FILE))) {
                return folder;
            }
        }
        throw new IOException(
                "there is no deploy/balancer.toml here or above; "
                        + "--sidecar tells how to start a sidecar");
    }

    /**
     * Reads the command that starts a sidecar.
     *
     * @param root the folder that holds {@code deploy/balancer.toml}
     * @throws IOException if the file cannot be read or has no {@code run}
     */
    static String readRunCommand(Path root) throws IOException {
        JsonNode run =
                new TomlMapper().readTree(Files.readAllBytes(root.resolve(DEPLOY_FILE))).get("run");
        if (run == null || !run.isTextual()) {
            throw new IOException(root.resolve(DEPLOY_FILE) + " has no run");
        }
        return run.asText();
    }
}
