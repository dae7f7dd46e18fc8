package poppynotch.fleet.membership;

/**
 * What a member says of itself. Each word is at most {@value #LONGEST} plain characters; an empty
 * one says nothing.
 *
 * @param zone where it stands
 * @param tier the tier that it sends to
 * @param version of its program
 * @param phase whether it serves
 * @param door the address for operators, or empty
 */
public record MemberProfile(String zone, String tier, String version, Phase phase, String door) {

    /** The longest word, so that a description fits a datagram many times over. */
    public static final int LONGEST = 48;

    /** Whether a process serves. */
    public enum Phase {
        /** Not yet. */
        STARTING,
        /** It does. */
        READY,
        /** Operators send its clients away. */
        STANDBY,
        /** It ends. */
        DRAINING
    }

    /** Checks the words. */
    public MemberProfile {
        for (String word : new String[] {zone, tier, version, door}) {
            if (!word.isEmpty() && !isWord(word)) {
                throw new IllegalArgumentException(
                        "not a plain word of at most "
                                + LONGEST
                                + " characters: "
                                + (word.length() > LONGEST
                                        ? word.substring(0, LONGEST) + "..."
                                        : word));
            }
        }
    }

    /**
     * Whether a text can be a name: letters, digits and {@code . _ : - [ ]}, at most {@value
     * #LONGEST}.
     */
    public static boolean isWord(String text) {
        if (text.isEmpty() || text.length() > LONGEST) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean plain =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || "._:-[]".indexOf(c) >= 0;
            if (!plain) {
                return false;
            }
        }
        return true;
    }

    /** The same with another phase. */
    public MemberProfile in(Phase next) {
        return new MemberProfile(zone, tier, version, next, door);
    }

    int maxEncodedBytes() {
        return 12 + zone.length() + tier.length() + version.length() + door.length();
    }
}
