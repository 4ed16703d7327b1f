Feature: Cancelling a read

  Scenario: A cancel is never lost, whenever data arrives
    Given connections on which data arrives while they are read
    When each read is cancelled some turns of the event loop after the data
    Then every read that took the cancel ends cancelled
