package poppynotch.simulation;

import poppynotch.wire.Message;

/** Receives the replies of control-plane replicas to polls. */
interface ReplyTarget {

    /** Called in the replica's process when it sends a reply. */
    void onReply(VirtualControlPlane from, Message message);
}
