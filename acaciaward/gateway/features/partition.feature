Feature: The stand-in for entries that are cut off from endpoints does what it says

  # A stand-in that lets bytes through, or loses them, hides what a cut does.
  Scenario: Bytes of an open connection are held up and arrive after the cut
    Given an endpoint that echoes, and an entry connected to it
    When the cut "hang" begins
    And the entry sends "a"
    Then the entry receives nothing in 0.2 s
    And a new connection isn't made in 0.2 s
    When the cut ends
    Then the entry receives "a"

  # A request whose sender gave up during the cut ran after it.
  Scenario: Bytes that are held up are lost if their sender resets the connection
    Given an endpoint that echoes, and an entry connected to it
    When the cut "hang" begins
    And the entry sends "a"
    And the entry resets the connection
    And the cut ends
    Then the endpoint has received nothing in 0.2 s

  # The kinds of cuts must differ in what they do to open and to new connections.
  Scenario: A cut that resets ends open connections and refuses new ones
    Given an endpoint that echoes, and an entry connected to it
    When the cut "reset" begins
    Then the entry's connection is reset
    And a new connection is refused
    When the cut ends
    Then a new connection is made

  Scenario: A cut that refuses lets open connections live on
    Given an endpoint that echoes, and an entry connected to it
    When the cut "refuse" begins
    And the entry sends "a"
    Then the entry receives "a"
    And a new connection is refused

  # A cut that hits the store, callers or other entries is another fault.
  Scenario: A cut spares connections elsewhere and those of others to the endpoint
    Given an endpoint that echoes, and an entry connected to it
    When the cut "hang" begins
    Then a new connection of the entry to another port is made
    And a new connection of another entry is made
