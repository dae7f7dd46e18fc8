package poppynotch.fleet.membership;

/**
 * Attributes that a member announces about itself. Immutable; each string is a valid name of at
 * most {@value #MAX_LENGTH} characters, or empty if it is not known.
 *
 * @param zone the failure domain that the process runs in
 * @param tier the tier of servers that it sends requests to
 * @param version version of its program
 * @param phase whether it serves requests
 * @param adminAddress address of its admin server, or empty
 */
public record MemberProfile(
        String zone, String tier, String version, Phase phase, String adminAddress) {

    /** Maximum length of a name, so that a profile fits a datagram many times over. */
    public static final int MAX_LENGTH = 48;

    private static final String OTHER_NAME_CHARACTERS = "._:-[]";

    /** Maximum encoded size without the strings. */
    private static final int MAX_ENCODED_BYTES_WITHOUT_STRINGS = 12;

    /** Whether a process serves requests. */
    public enum Phase {
        /** The process does not serve requests yet. */
        STARTING,
        /** The process serves requests. */
        READY,
        /** Operators have directed its clients to other processes. */
        STANDBY,
        /** The process shuts down gracefully. */
        DRAINING
    }

    /**
     * Validates the strings.
     *
     * @throws IllegalArgumentException if one is neither empty nor a valid name
     */
    public MemberProfile {
        for (String text : new String[] {zone, tier, version, adminAddress}) {
            if (!text.isEmpty() && !isValidName(text)) {
                throw new IllegalArgumentException(
                        "invalid string in a member profile, expected at most "
                                + MAX_LENGTH
                                + " letters, digits or characters of "
                                + OTHER_NAME_CHARACTERS
                                + ": "
                                + abbreviated(text));
            }
        }
    }

    private static String abbreviated(String text) {
        return text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) + "..." : text;
    }

    /**
     * Whether a text is a valid name: letters, digits and {@code . _ : - [ ]}, at most {@value
     * #MAX_LENGTH} characters.
     */
    public static boolean isValidName(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (!isNameCharacter(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isNameCharacter(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || OTHER_NAME_CHARACTERS.indexOf(c) >= 0;
    }

    /** The same profile in another phase. */
    public MemberProfile withPhase(Phase newPhase) {
        return new MemberProfile(zone, tier, version, newPhase, adminAddress);
    }

    /** Upper bound of the profile's size on the wire, in bytes. */
    int maxEncodedBytes() {
        return MAX_ENCODED_BYTES_WITHOUT_STRINGS
                + zone.length()
                + tier.length()
                + version.length()
                + adminAddress.length();
    }
}
