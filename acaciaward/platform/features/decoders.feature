Feature: Whatever others write, decoding it raises no error but the decoder's own

  # One record with a number too large stopped every entry from following the list, and
  # headers of a caller ended its connection without an answer.
  Scenario Outline: Records, headers and messages with extreme values
    Then <decoder> of extreme values raises no error but <error>

    Examples:
      | decoder         | error           |
      | configurations  | UnreadableError |
      | endpoints       | UnreadableError |
      | callers' heads  | DecodingError   |
      | answers' heads  | none            |
      | peers' calls    | DecodingError   |
      | peers' answers  | none            |
      | messages        | WireError       |
      | lease records   | DecodingError   |
      | usage records   | DecodingError   |
      | quota records   | DecodingError   |
      | version records | DecodingError   |
      | stream records  | DecodingError   |
      | settings        | SettingsError   |
