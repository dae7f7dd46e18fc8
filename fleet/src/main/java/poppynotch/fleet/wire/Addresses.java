package poppynotch.fleet.wire;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;

/** Addresses as text, {@code 127.0.0.1:7000} or {@code [::1]:7000}. */
public final class Addresses {

    private Addresses() {}

    /** Whether a text is an IP address and a port from 1 on. */
    public static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return false;
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        if (!(bracketed
                ? NetUtil.isValidIpV6Address(host.substring(1, host.length() - 1))
                : NetUtil.isValidIpV4Address(host))) {
            return false;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port > 0 && port < 1 << 16;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    /** The address that a text, checked by {@link #isAddress}, names; nothing is looked up. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    /** The text for an address. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
