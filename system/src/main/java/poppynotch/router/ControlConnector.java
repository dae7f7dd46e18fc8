package poppynotch.router;

import poppynotch.wire.Message;

/** How an edge gets connections to core processes. All calls come from, and go to, one thread. */
public interface ControlConnector {

    /** An open connection. */
    interface Connection {
        /** Sends a message. */
        void send(Message message);

        /** Closes it; its user is told as of any other end. */
        void close();
    }

    /** Who uses a connection. */
    interface User {
        /** It is open. */
        void connected(Connection connection);

        /** It could not be opened. */
        void unreachable();

        /** A message has come. */
        void received(Connection from, Message message);

        /** It has ended, whoever closed it. */
        void closed(Connection connection);
    }

    /** Opens a connection; nothing is told before this returns. */
    void connect(String core, User user);
}
