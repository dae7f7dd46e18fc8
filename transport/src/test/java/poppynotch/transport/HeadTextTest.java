package poppynotch.transport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against names that arrive in a header as others, or as the same for two. */
class HeadTextTest {

    /** ASCII, Latin-1, its UTF-8 bytes as Latin-1, beyond Latin-1, beyond U+FFFF, two forms. */
    private static final List<String> NAMES =
            List.of("acme 1", "ü", "Ã¼", "Taş Evi", "Tağ Evi", "🦊", "\u00e9", "e\u0301", "?");

    @Test
    void encodesEachNameAsItsUtf8Bytes() {
        Set<String> values = new HashSet<>();
        for (String name : NAMES) {
            String value = HeadText.encode(name);
            assertWithMessage(name)
                    .that(value.getBytes(StandardCharsets.ISO_8859_1))
                    .isEqualTo(name.getBytes(StandardCharsets.UTF_8));
            assertWithMessage(name).that(HeadText.decode(value)).isEqualTo(name);
            values.add(value);
        }
        assertThat(values).hasSize(NAMES.size());
    }

    /** A client that sends ISO-8859-1 is understood as before. */
    @Test
    void decodesBytesThatAreNotUtf8AsLatin1() {
        assertThat(HeadText.decode("M\u00fcller")).isEqualTo("Müller");
    }

    @Test
    void tellsWhichTextsNoHeaderCanCarry() {
        NAMES.forEach(name -> assertWithMessage(name).that(HeadText.isEncodable(name)).isTrue());
        for (String name : List.of("", " a", "a ", "a\nb", "a\rb", "\t", "a\u0000", "\u007f")) {
            assertWithMessage(name).that(HeadText.isEncodable(name)).isFalse();
        }
        assertThat(HeadText.isEncodable("half \ud83e")).isFalse();
        assertThat(HeadText.printable("a\r\nb")).isEqualTo("a??b");
    }
}
