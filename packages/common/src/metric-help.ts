/** What each metric counts or measures, for the exposition and the operators' page. */
export const metricHelp: Readonly<Record<string, string>> = {
  link_bytes_received: 'Bytes received on links.',
  link_bytes_sent: 'Bytes sent on links, by kind of frame.',
  link_call_refused: 'Calls from peers that were refused, by reason.',
  link_call_timeout: 'Calls to peers that had no answer in time, by method.',
  link_closed: 'Links that ended, by reason.',
  link_connect_failed: 'Connections to peers that could not be made.',
  link_opened: 'Links whose hello was accepted, by role of the peer.',
  link_reconnect: 'Connections made again, by the reason for which the last link ended.',
  link_refused: 'Connections refused at the link address, by reason.',
  link_reply_dropped: 'Replies that nobody waited for any more, by reason.',
};
