package poppynotch.fleet.wire;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;

/**
 * Converts between socket addresses and their text forms, {@code 127.0.0.1:7000} or {@code
 * [::1]:7000}. Never resolves host names.
 */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Whether a text is an IP address and a port from 1 to 65,535. */
    public static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        return colon >= 1
                && isIpAddress(text.substring(0, colon))
                && isPort(text.substring(colon + 1));
    }

    private static boolean isIpAddress(String host) {
        boolean isBracketed = host.startsWith("[") && host.endsWith("]");
        return isBracketed
                ? NetUtil.isValidIpV6Address(host.substring(1, host.length() - 1))
                : NetUtil.isValidIpV4Address(host);
    }

    private static boolean isPort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port > 0 && port <= MAX_PORT;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** Parses a text for which {@link #isAddress} is true. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    /** Formats an address. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
