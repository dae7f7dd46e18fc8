package poppynotch.transport;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Text in the head of a message, such as a name in a header. The HTTP codec maps each char of a
 * header to one byte and replaces those above U+00FF, so text is sent as its UTF-8 bytes, each in a
 * char of its own. Stateless; may be used from any thread.
 */
public final class HeadText {

    private static final char BLANK = ' ';
    private static final char DELETE = 0x7F;
    private static final char REPLACEMENT = '?';

    private HeadText() {}

    /**
     * The value of a header that carries {@code text}: different texts have different values.
     *
     * @param text for which {@link #isEncodable} is true
     */
    public static String encode(String text) {
        return isAscii(text)
                ? text
                : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /**
     * The text that a received value carries, of which the codec has made one char a byte. Bytes
     * that are not UTF-8 are read as ISO-8859-1.
     */
    public static String decode(String value) {
        if (isAscii(value)) {
            return value;
        }
        ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1));
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            return value;
        }
    }

    /**
     * Whether a header can carry a text unchanged: it is not empty, has no blank at an end, no
     * control characters and no half of a surrogate pair.
     */
    public static boolean isEncodable(String text) {
        return !text.isEmpty()
                && text.charAt(0) != BLANK
                && text.charAt(text.length() - 1) != BLANK
                && text.chars().noneMatch(HeadText::isControl)
                && StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** A text on one line, in which control characters are replaced. */
    public static String printable(String text) {
        StringBuilder printable = new StringBuilder(text.length());
        text.chars().forEach(c -> printable.append(isControl(c) ? REPLACEMENT : (char) c));
        return printable.toString();
    }

    private static boolean isControl(int c) {
        return c < BLANK || c == DELETE;
    }

    private static boolean isAscii(String text) {
        return text.chars().allMatch(c -> c <= DELETE);
    }
}
