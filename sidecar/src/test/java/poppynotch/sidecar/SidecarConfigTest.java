package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of configuration files, and the messages for invalid ones, which name the field. */
class SidecarConfigTest {

    @TempDir Path folder;

    private SidecarConfig read(String part, String replacement) throws IOException {
        try (FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "");
                SidecarFixture fixture = new SidecarFixture(endpoint)) {
            assertTrue(fixture.config().contains(part), part);
            return SidecarConfig.read(
                    Files.writeString(
                            folder.resolve("config.json"),
                            fixture.config().replace(part, replacement)));
        }
    }

    @Test
    void readsAllFields() throws IOException {
        SidecarConfig config = read("", "");
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxSockets());
        assertEquals(15_000, config.idleCloseMs());
        assertEquals(1, config.knownEndpoints().version());
        assertEquals("s0", config.knownEndpoints().entries().get(0).server().id());
        assertEquals(3, config.settings().classes().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"listen\":\"127.0.0.1:0\",||listen is missing",
                "127.0.0.1:0|localhost:0|listen is not usable: localhost:0",
                "127.0.0.1:0|127.0.0.1:70000|listen is not usable: 127.0.0.1:70000",
                "8c1f30d27a5be964|zz|seed is not usable: zz",
                "\"sockets\":1024|\"sockets\":-1|limits.sockets is not usable: -1",
                "in_service|asleep|servers[].state is not usable: asleep",
                "\"idle-close-ms\":15000|\"idle-close-ms\":0|settings.limits.idle-close-ms is not"
                        + " usable: 0",
                "\"dial-timeout-ms\":2000,||settings.limits.dial-timeout-ms is missing",
                "\"effect\":\"once\"|\"effect\":\"twice\"|effect is unknown: twice",
                "\"azs\":[\"a\"]|\"azs\":5|settings.azs is not usable: 5"
            })
    void namesMissingOrInvalidField(String part, String replacement, String expectedMessage) {
        IllegalArgumentException e =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> read(part, replacement == null ? "" : replacement));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void namesFileThatIsNotJson() throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"name\":");
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> SidecarConfig.read(file));
        assertTrue(e.getMessage().contains(file + " is not JSON"), e.getMessage());
    }

    /** Guards against rejecting a valid file in which an endpoint has fewer fields. */
    @Test
    void acceptsReloadWithFewerFieldsOfKnownEndpoint() throws IOException {
        SidecarConfig before = read("", "");
        Path next =
                Files.writeString(
                        folder.resolve("next.json"),
                        Files.readString(folder.resolve("config.json")).replace("\"cell\":0,", ""));
        assertEquals(
                "s0", before.readSuccessor(next).knownEndpoints().entries().get(0).server().id());
    }

    /**
     * Guards against partial changes: an invalid file that is to replace another changes nothing.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"seed\":\"8c1f30d27a5be964\",||seed is missing",
                "\"tier\":0,||settings.tier is missing",
                "\"hard-limit-ms\":9000,||classes[].deadline must be above 0",
                "\"name\":\"read\",||settings.classes[].name is missing",
                "\"try-limit\":3|\"try-limit\":2.5|try-limit is not usable: 2.5",
                "\"management\":\"127.0.0.1:0\"|\"management\":\"x\"|management is not usable: x",
                "\"try-limit\":3|\"try-limit\":0|try-limit is not usable: 0",
                "\"try-limit\":3|\"try-limit\":\"3\"|try-limit is not usable: 3",
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":-1|classes[].deadline must be above 0",
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":null|classes[].deadline must be above 0",
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":\"soon\"|hard-limit-ms should be a"
                        + " number",
                "\"classes\":[|\"kinds\":[|setting classes is empty"
            })
    void namesFieldMissingFromReloadedFile(String part, String replacement, String expectedMessage)
            throws IOException {
        SidecarConfig before = read("", "");
        String good = Files.readString(folder.resolve("config.json"));
        assertTrue(good.contains(part), part);
        Path bad =
                Files.writeString(
                        folder.resolve("bad.json"),
                        good.replaceFirst(
                                Pattern.quote(part), replacement == null ? "" : replacement));
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> before.readSuccessor(bad));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }
}
