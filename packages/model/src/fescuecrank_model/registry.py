"""Every specification that `python -m fescuecrank_model` checks."""

from fescuecrank_model.budget import Budget
from fescuecrank_model.claims import Claims
from fescuecrank_model.configuration import Configuration
from fescuecrank_model.escrow import Escrow
from fescuecrank_model.members import Members
from fescuecrank_model.moves import Moves
from fescuecrank_model.requests import Requests
from fescuecrank_model.specification import Specification
from fescuecrank_model.starts import FencedStarts, Starts

SPECIFICATIONS: tuple[type[Specification], ...] = (
    Claims,
    Members,
    Configuration,
    Requests,
    Escrow,
    Moves,
    Budget,
    Starts,
    FencedStarts,
)
